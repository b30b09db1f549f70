package org.lacewingcroft.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.file.Path;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks that a patch becomes active at the entries and changes only the items that it names. */
class ConfigPatchApiTest {
  @Test
  void patchesBecomeActiveAtEntries(@TempDir Path dir) throws Exception {
    try (TestCluster cluster =
        new TestCluster(dir.resolve("data"), "organisations: [{name: kept}, {name: gone}]")) {
      Daemon entry = cluster.startEntry("entry-1", "uusimaa", Duration.ZERO);
      String patch = "organisations: [{name: added}]\nremove: {organisations: [gone]}";
      Map<String, String> headers = TestCluster.change("patch-1", "1");
      TestCluster.Reply accepted =
          cluster.send(cluster.control(), "PATCH", "/v1/config", headers, patch);
      assertThat(accepted.body().path("version").asLong(), is(2L));
      TestCluster.Reply resent =
          cluster.send(cluster.control(), "PATCH", "/v1/config", headers, patch);
      assertThat(resent.body().path("duplicate").asBoolean(), is(true));
      TestCluster.await(() -> cluster.version(entry) == 2);
      String document = cluster.send(entry, "GET", "/v1/config", Map.of(), "").response().body();
      assertThat(document, containsString("kept"));
      assertThat(document, containsString("added"));
      assertThat(document, not(containsString("gone")));
    }
  }
}
