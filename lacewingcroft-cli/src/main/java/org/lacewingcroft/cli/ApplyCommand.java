package org.lacewingcroft.cli;

import io.vertx.core.http.HttpMethod;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.Callable;
import org.lacewingcroft.config.ConfigParser;
import org.lacewingcroft.config.ConfigPatch;
import org.lacewingcroft.error.GatewayException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Applies a selectors document through a control daemon. The change id makes a resend idempotent,
 * and the expected version makes the second of two concurrent changes fail.
 */
@Command(name = "apply", description = "Apply a selectors document through a control daemon.")
final class ApplyCommand implements Callable<Integer> {
  @Option(names = "-f", required = true, description = "the YAML document")
  Path file;

  @Option(
      names = "--patch",
      description = "the document changes only the selectors and organisations it names")
  boolean patch;

  @Option(names = "--server", required = true, description = "a control daemon's base URL")
  String server;

  @Option(
      names = "--expected-version",
      description = "version that the change is based on; default: the active one")
  Long expectedVersion;

  @Option(
      names = "--change-id",
      description = "change id for idempotent resends; default: a new UUID")
  String changeId;

  private void validate(String document) {
    if (patch) {
      ConfigPatch.parse(document);
    } else {
      ConfigParser.parse(document);
    }
  }

  @Override
  public Integer call() throws Exception {
    String document = Files.readString(file);
    try {
      validate(document);
    } catch (GatewayException e) {
      System.err.println("lacewingcroft apply: " + e.getMessage());
      return 2;
    }
    try (BlockingHttpClient http = new BlockingHttpClient()) {
      long expected =
          expectedVersion != null
              ? expectedVersion
              : Long.parseLong(http.get(server + "/v1/config").headers().get("X-Config-Version"));
      String id = changeId != null ? changeId : UUID.randomUUID().toString();
      BlockingHttpClient.Response response =
          http.send(
              patch ? HttpMethod.PATCH : HttpMethod.PUT,
              server + "/v1/config",
              Map.of("X-Change-Id", id, "X-Expected-Version", Long.toString(expected)),
              document);
      System.out.println(response.body());
      return response.status() == 200 ? 0 : 1;
    }
  }
}
