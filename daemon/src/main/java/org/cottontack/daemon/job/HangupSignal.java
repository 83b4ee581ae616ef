package org.cottontack.daemon.job;

import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Handles the signal that announces changed settings. Without a handler, the virtual machine treats
 * the signal as a request to exit, and the platform sees a process that ends by itself. The handler
 * is installed by reflection because the compiler does not expose the virtual machine's signal
 * class.
 */
final class HangupSignal {

  private static final Logger LOG = LogManager.getLogger(HangupSignal.class);
  private static final String SIGNAL = "HUP";

  private HangupSignal() {}

  /** Runs an action each time the signal arrives. */
  static void handle(Runnable action) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object proxy =
          Proxy.newProxyInstance(
              HangupSignal.class.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, args) -> {
                action.run();
                return null;
              });
      Object hangup = signal.getConstructor(String.class).newInstance(SIGNAL);
      signal.getMethod("handle", signal, handler).invoke(null, hangup, proxy);
    } catch (ReflectiveOperationException e) {
      LOG.warn("no handler for {}: a change of the settings file will end this process", SIGNAL, e);
    }
  }
}
