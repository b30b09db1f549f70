package org.lacewingcroft.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Prints the active configuration document of a daemon, with its version. */
@Command(name = "get", description = "Print the active selectors of a daemon.")
final class GetCommand implements Callable<Integer> {
  @Parameters(index = "0", description = "what to get: selectors")
  String what;

  @Option(names = "--server", required = true, description = "any daemon's base URL")
  String server;

  @Override
  public Integer call() throws Exception {
    if (!what.equals("selectors")) {
      System.err.println("lacewingcroft get: unknown kind '" + what + "'; use 'selectors'");
      return 2;
    }
    try (BlockingHttpClient http = new BlockingHttpClient()) {
      BlockingHttpClient.Response response = http.get(server + "/v1/config");
      System.out.println("# version " + response.headers().get("X-Config-Version"));
      System.out.print(response.body());
      return response.status() == 200 ? 0 : 1;
    }
  }
}
