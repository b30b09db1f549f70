package org.lacewingcroft.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Prints the ranked entry instances that a caller in a region should use. */
@Command(name = "entries", description = "List the entry instances a caller should use, ranked.")
final class EntriesCommand implements Callable<Integer> {
  @Option(names = "--server", required = true, description = "any daemon's base URL")
  String server;

  @Option(names = "--region", required = true, description = "the caller's region")
  String region;

  @Override
  public Integer call() throws Exception {
    try (BlockingHttpClient http = new BlockingHttpClient()) {
      BlockingHttpClient.Response response = http.get(server + "/v1/entries?region=" + region);
      System.out.println(response.body());
      return response.status() == 200 ? 0 : 1;
    }
  }
}
