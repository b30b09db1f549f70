package org.lacewingcroft.cli;

import io.vertx.core.http.HttpMethod;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Lists the quarantined request contents, which crashed endpoints, or lifts a quarantine. */
@Command(
    name = "quarantine",
    description = "List the quarantined request contents, or lift the quarantine of one.")
final class QuarantineCommand implements Callable<Integer> {
  @Option(names = "--server", required = true, description = "an entry daemon's base URL")
  String server;

  @Option(names = "--lift", description = "fingerprint of the content whose quarantine is lifted")
  Optional<String> lift = Optional.empty();

  @Override
  public Integer call() throws Exception {
    String path = server + "/v1/quarantine";
    try (BlockingHttpClient http = new BlockingHttpClient()) {
      BlockingHttpClient.Response response =
          lift.isPresent()
              ? http.send(HttpMethod.DELETE, path + "/" + lift.get(), Map.of(), null)
              : http.get(path);
      System.out.println(response.body());
      return response.status() == 200 ? 0 : 1;
    }
  }
}
