package org.cottontack.daemon.job;

import java.lang.reflect.Proxy;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Handles the signal that says that the settings have changed. Without a handler the virtual
 * machine takes it as an order to end: the platform sees a process that leaves by itself. The
 * handler is bound by reflection because the compiler does not know the virtual machine's signal
 * class.
 */
final class HangupSignal {

  private static final Logger LOG = LogManager.getLogger(HangupSignal.class);
  private static final String SIGNAL = "HUP";

  private HangupSignal() {}

  /** Runs something at each such signal. */
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
      LOG.warn("a changed settings file will end this process: no handler for {}", SIGNAL, e);
    }
  }
}
