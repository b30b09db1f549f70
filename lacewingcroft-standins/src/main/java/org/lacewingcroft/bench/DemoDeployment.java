package org.lacewingcroft.bench;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The bundled demo deployment of the organisation Puhdas Seinä. It has three regions with two entry
 * daemons each, three control daemons, the service "writers" with eight engine runners, the service
 * "desk" with three plain-service runners, and a bundled trace and selectors document.
 */
public final class DemoDeployment {
  /** The regions of the demo deployment. */
  public static final List<String> REGIONS = List.of("uusimaa", "pirkanmaa", "pohjois-pohjanmaa");

  private static final int[] WRITER_RUNNERS_BY_REGION = {3, 3, 2};

  private DemoDeployment() {}

  /** Returns the topology of the demo deployment. */
  public static LocalDeployment.Topology topology() {
    List<LocalDeployment.StandinGroup> groups = new ArrayList<>();
    for (int i = 0; i < REGIONS.size(); i++) {
      String region = REGIONS.get(i);
      groups.add(
          new LocalDeployment.StandinGroup(
              "writers-" + region,
              "engine",
              region,
              WRITER_RUNNERS_BY_REGION[i],
              "writer",
              Map.of("service", "writers", "tier", "standard"),
              8));
      groups.add(
          new LocalDeployment.StandinGroup(
              "desk-" + region, "service", region, 1, "desk", Map.of("service", "desk"), 4));
    }
    return new LocalDeployment.Topology(
        REGIONS, 2, 3, groups, resource("demo/selectors.yaml"), List.of());
  }

  /** Returns the bundled trace. */
  public static List<TraceRequest> trace() {
    return TraceRequest.parse(resource("demo/trace.jsonl"));
  }

  /** Returns a resource of this module as text. */
  public static String resource(String name) {
    try (InputStream in = DemoDeployment.class.getClassLoader().getResourceAsStream(name)) {
      if (in == null) {
        throw new IllegalStateException("resource " + name + " is missing from the build");
      }
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
