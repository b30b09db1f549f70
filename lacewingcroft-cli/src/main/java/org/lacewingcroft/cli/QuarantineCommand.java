package org.lacewingcroft.cli;

import io.vertx.core.http.HttpMethod;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Lists the contents that entries refuse because endpoints ended under them, or lifts one. */
@Command(
    name = "quarantine",
    description = "List the contents that are not run any more, or let one run again.")
final class QuarantineCommand implements Callable<Integer> {
  @Option(names = "--server", required = true, description = "an entry daemon's base URL")
  String server;

  @Option(names = "--lift", description = "the fingerprint of a content that shall run again")
  Optional<String> lift = Optional.empty();

  @Override
  public Integer call() throws Exception {
    String path = server + "/v1/quarantine";
    try (Http http = new Http()) {
      Http.Reply reply =
          lift.isPresent()
              ? http.send(HttpMethod.DELETE, path + "/" + lift.get(), Map.of(), null)
              : http.get(path);
      System.out.println(reply.body());
      return reply.status() == 200 ? 0 : 1;
    }
  }
}
