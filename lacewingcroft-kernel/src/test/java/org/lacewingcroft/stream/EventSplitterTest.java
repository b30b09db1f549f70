package org.lacewingcroft.stream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests which bytes of a stream are forwarded, whatever the chunks in which they arrive. */
class EventSplitterTest {
  private static final String FIRST_EVENT = "id: 1\ndata: a\n\n";
  private static final String SECOND_EVENT = "id: 2\r\ndata: b\r\n\r\n";

  /**
   * A test case: the id of the last event already forwarded, the bytes, and the expected forwarded
   * bytes, last id and incomplete event.
   */
  record Row(long lastForwarded, String bytes, String forwarded, long lastId, String incomplete) {}

  static Stream<Row> rows() {
    return Stream.of(
        new Row(-1, FIRST_EVENT + SECOND_EVENT, FIRST_EVENT + SECOND_EVENT, 2, ""),
        new Row(-1, FIRST_EVENT + "id: 2\nda", FIRST_EVENT, 1, "id: 2\nda"),
        new Row(1, FIRST_EVENT + SECOND_EVENT, SECOND_EVENT, 2, ""),
        new Row(-1, "data: plain\n\n", "data: plain\n\n", -1, ""),
        new Row(
            -1,
            "x-weight-versions: 3\n" + FIRST_EVENT,
            "x-weight-versions: 3\n" + FIRST_EVENT,
            1,
            ""));
  }

  @ParameterizedTest
  @MethodSource("rows")
  void forwardsCompleteNewEvents(Row row) {
    for (int chunkSize : new int[] {1, 5, 1_000}) {
      EventSplitter splitter =
          new EventSplitter(
              row.lastForwarded() < 0
                  ? OptionalLong.empty()
                  : OptionalLong.of(row.lastForwarded()));
      StringBuilder out = new StringBuilder();
      for (int i = 0; i < row.bytes().length(); i += chunkSize) {
        String chunk = row.bytes().substring(i, Math.min(row.bytes().length(), i + chunkSize));
        out.append(new String(splitter.append(chunk.getBytes(StandardCharsets.UTF_8))));
      }
      assertThat(out.toString(), equalTo(row.forwarded()));
      assertThat(splitter.lastId().orElse(-1), equalTo(row.lastId()));
      assertThat(
          new String(splitter.incompleteEvent(), StandardCharsets.UTF_8),
          equalTo(row.incomplete()));
    }
  }
}
