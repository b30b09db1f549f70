package org.lacewingcroft.bench;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Starts the demo deployment as real processes on free loopback ports, replays the shipped trace
 * through the entries and stops everything gracefully.
 */
class DemoEndToEndTest {
  @TempDir Path workDir;

  @Test
  void servesTheWholeTraceThroughSeparateProcesses() throws Exception {
    List<TraceRequest> trace = DemoDeployment.trace();
    ReplayResult result;
    int stopFailures;
    try (LocalDeployment deployment = LocalDeployment.start(DemoDeployment.topology(), workDir);
        TraceReplayer replayer = new TraceReplayer()) {
      Map<String, String> entries = deployment.entries();
      result = replayer.replay(trace, r -> entries.get(r.region() + "-entry-1"));
      stopFailures = deployment.stop();
    }
    assertThat(result.report("e2e"), result.outcome("served"), is(trace.size()));
    assertThat(result.corrupted, is(0));
    assertThat(result.outsideResidency, is(0));
    assertThat(stopFailures, is(0));
  }
}
