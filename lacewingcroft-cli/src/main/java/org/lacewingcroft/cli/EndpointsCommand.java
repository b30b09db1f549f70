package org.lacewingcroft.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Lists the endpoints recorded by an entry daemon, with labels, load and leases. */
@Command(name = "endpoints", description = "List the endpoints recorded by an entry daemon.")
final class EndpointsCommand implements Callable<Integer> {
  @Option(names = "--server", required = true, description = "an entry daemon's base URL")
  String server;

  @Override
  public Integer call() throws Exception {
    try (BlockingHttpClient http = new BlockingHttpClient()) {
      BlockingHttpClient.Response response = http.get(server + "/v1/endpoints");
      System.out.println(response.body());
      return response.status() == 200 ? 0 : 1;
    }
  }
}
