package org.cottontack.standin;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import org.cottontack.adapters.AdapterException;
import org.cottontack.adapters.Address;
import org.cottontack.core.task.Demand;

/** Command line entry point: runs the stand-ins until the process is terminated. */
public final class Main {

  private static final int IO_THREADS = 4;

  @Parameter(names = "--help", help = true, description = "Show this help.")
  private boolean help;

  @Parameter(names = "--data-centres", description = "Names, separated by commas.")
  private List<String> dataCentres = List.of("dc-1", "dc-2");

  @Parameter(names = "--store-port", description = "Port for the first data centre.")
  private int storePort = 7000;

  @Parameter(names = "--control-port", description = "Port of the control routes.")
  private int controlPort = 7090;

  @Parameter(names = "--workers", description = "Workers in each data centre.")
  private int workers = 2;

  @Parameter(names = "--endpoints", description = "Endpoints in each data centre.")
  private int endpoints = 4;

  @Parameter(names = "--slots", description = "Slots of each endpoint.")
  private int slots = 8;

  @Parameter(names = "--service-millis", description = "How long a request takes.")
  private long serviceMillis = 5;

  @Parameter(names = "--worker-cores", description = "Cores of each worker.")
  private int cores = 32;

  @Parameter(names = "--worker-mb", description = "Memory of each worker, in MiB.")
  private int memoryMb = 125_000;

  @Parameter(names = "--worker-accelerators", description = "Accelerators of each worker.")
  private int accelerators = 1;

  private Main() {}

  /** Runs the command. */
  public static void main(String[] args) throws InterruptedException {
    Main main = new Main();
    JCommander commander =
        JCommander.newBuilder().programName("cottontack-standin").addObject(main).build();
    try {
      commander.parse(args);
    } catch (ParameterException e) {
      System.err.println("cottontack-standin: " + e.getMessage());
      Runtime.getRuntime().exit(2);
    }
    if (main.help) {
      commander.usage();
    } else {
      main.runOrExit();
    }
  }

  private void runOrExit() throws InterruptedException {
    try {
      run();
    } catch (AdapterException e) {
      System.err.println("cottontack-standin: " + e.getMessage());
      Runtime.getRuntime().halt(1);
    }
  }

  private void run() throws InterruptedException {
    EventLoopGroup group = new MultiThreadIoEventLoopGroup(IO_THREADS, NioIoHandler.newFactory());
    Demand capacity = new Demand(cores * 1_000, memoryMb, accelerators);
    StandIns.Plan plan =
        new StandIns.Plan(
            dataCentres, storePort, workers, endpoints, slots, serviceMillis, capacity);
    try (StandIns standIns = new StandIns(group, plan);
        Control control = new Control(group, new Address("127.0.0.1", controlPort), standIns)) {
      System.out.println("stand-ins ready, control on " + control.address());
      Thread.currentThread().join();
    }
  }
}
