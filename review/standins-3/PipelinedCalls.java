import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** A client that sends two requests on one channel gets the answer of the other one. */
final class PipelinedCalls {
  private static final String DONE = "5c0e7a21d94b36f8";
  private static final String WAITS = "a15e7a21d94b36f9";

  public static void main(String[] args) {
    Kit.run(args[0], PipelinedCalls::run);
  }

  private static int run(Kit kit) throws Exception {
    kit.config(3, "svc", "q", "other");
    for (int i = 0; i < 4; i++) {
      kit.new Worker("w" + i, "svc", "zone-" + i % 3, 64_000, "a", "r" + i % 3);
    }
    if (!kit.startNodes(3)) {
      return kit.notRun("the processes did not become ready");
    }
    Kit.Node node = kit.nodes.get(0);
    kit.call(node, "POST", "/q/" + DONE, Kit.submission(200, 2, 1000).toString());
    kit.call(node, "POST", "/q/" + WAITS, Kit.submission(0, 1, 1_000_000).toString());
    if (!Kit.await(
        5_000, () -> kit.call(node, "GET", "/q/" + DONE, "").body().contains("complete"))) {
      return kit.notRun("the first submission did not complete");
    }
    int wrong = 0;
    for (int i = 0; i < 20; i++) {
      List<Kit.Response> answers = ask(node, kit.trouble);
      kit.log("asked for " + WAITS + " and " + DONE + ": " + answers);
      wrong += answers.get(0).body().contains("complete") ? 1 : 0;
    }
    return kit.verdict(wrong > 0, wrong + " of 20 times a submission that has not begun is shown as complete");
  }

  private static List<Kit.Response> ask(Kit.Node node, boolean together) throws IOException {
    byte[] one = Kit.request("GET", "/q/" + WAITS, "", Map.of());
    byte[] two = Kit.request("GET", "/q/" + DONE, "", Map.of());
    List<Kit.Response> answers = new ArrayList<>();
    try (Socket socket = new Socket()) {
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(4_000);
      socket.connect(new InetSocketAddress(node.ip, 8161), 1_000);
      socket.getOutputStream().write(one);
      if (!together) {
        answers.add(Kit.response(socket.getInputStream()));
      }
      socket.getOutputStream().write(two);
      while (answers.size() < 2) {
        answers.add(Kit.response(socket.getInputStream()));
      }
    }
    return answers;
  }
}
