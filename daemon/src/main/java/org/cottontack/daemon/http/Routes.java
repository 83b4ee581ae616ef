package org.cottontack.daemon.http;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.http.HttpCall;

/**
 * Selects the handler of an HTTP call by method and path; a path has at most one variable segment.
 */
public final class Routes implements Consumer<HttpCall> {

  private record Route(String method, Pattern path, BiConsumer<HttpCall, String> handler) {}

  private final List<Route> routes = new ArrayList<>();

  /**
   * Adds a route.
   *
   * @param method the HTTP method, such as {@code GET}
   * @param path the path, with <code>{}</code> in place of the variable segment
   * @param handler receives the call and the variable segment, or an empty string if there is none
   */
  public Routes on(String method, String path, BiConsumer<HttpCall, String> handler) {
    String regex = path.replace("{}", "(?<part>[^/]+)");
    routes.add(new Route(method, Pattern.compile(regex), handler));
    return this;
  }

  @Override
  public void accept(HttpCall call) {
    List<Route> samePath =
        routes.stream().filter(r -> r.path().matcher(call.path()).matches()).toList();
    samePath.stream()
        .filter(route -> route.method().equals(call.method()))
        .findFirst()
        .ifPresentOrElse(
            route -> handle(route, call),
            () -> noRoute(call).answer(call, samePath.isEmpty() ? 404 : 405));
  }

  private static void handle(Route route, HttpCall call) {
    Matcher matcher = route.path().matcher(call.path());
    String part = matcher.matches() && matcher.groupCount() > 0 ? matcher.group("part") : "";
    try {
      route.handler().accept(call, part);
    } catch (AdapterException e) {
      Refusal.notRun("bad_request", e.getMessage()).answer(call, 400);
    }
  }

  private static Refusal noRoute(HttpCall call) {
    String message = "no route " + call.method() + " " + call.path() + "; see docs/INTERFACE.md";
    return Refusal.notRun("no_route", message);
  }
}
