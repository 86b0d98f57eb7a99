package saffronferry.wire;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNull;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;
import static org.junit.Assert.fail;

import io.vertx.core.buffer.Buffer;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.Test;
import saffronferry.Contract.DedupScope;
import saffronferry.Contract.Idempotency;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.log.BoundedLog;
import saffronferry.state.ListUpdate;
import saffronferry.state.RecordingAttempt;
import saffronferry.state.RpcInfo;

/** Table-driven tests of the parsers for data received from the network. */
public class ParsersTest {
    private static final RpcParser RPCS = new RpcParser(
            List.of(jobClass("page", Idempotency.SAFE), jobClass("gift", Idempotency.KEYED)), List.of("acme"));
    private static final LoadReportParser LOADS = new LoadReportParser("x0");

    private static JobClass jobClass(String name, Idempotency effect) {
        return new JobClass(name, 0, 0, 6_000_000, 1, 0, effect, DedupScope.CELL, 0, -1);
    }

    /** Headers as {@code name:value;name:value}. */
    private static RpcInfo rpc(String path, String headers) throws RejectedRequestException {
        Map<String, List<String>> map = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String h : headers.split(";")) {
            map.computeIfAbsent(h.substring(0, h.indexOf(':')), n -> new ArrayList<>())
                    .add(h.substring(h.indexOf(':') + 1));
        }
        return RPCS.parse(path, name -> map.getOrDefault(name, List.of()));
    }

    @Test
    public void wellFormedRequestsAreParsed() throws RejectedRequestException {
        Object[][] cases = {
            // path, headers, class, tenant, microseconds, slots, client retry
            {"/page", "X-Txn:1;X-Lane:page;X-Org:acme;X-Remaining-Ms:480", 0, 0, 480_000L, 1, false},
            {"/gift", "X-Txn:a.B_3-:;X-Lane:gift;X-Remaining-Ms:0;Idempotency-Key:k", 1, -1, 0L, 1, false},
            {"/gift/7", "X-Txn:1;X-Remaining-Ms:5;Idempotency-Key:k", 1, -1, 5000L, 1, false},
            {"/page", "X-Txn:1;X-Org:who;X-Remaining-Ms:12000;X-Resent:1", 0, -1, 12_000_000L, 1, true},
            {"/page", "X-Txn:1;X-Remaining-Ms:5;X-Labels:slots=2,memory=1.5,z=q", 0, -1, 5000L, 2, false},
        };
        for (Object[] c : cases) {
            RpcInfo r = rpc((String) c[0], (String) c[1]);
            assertEquals(
                    List.of(c).subList(2, 7),
                    List.<Object>of(r.rpcClass(), r.tenant(), r.remaining(), r.slots(), r.clientRetry()));
        }
    }

    @Test
    public void malformedRequestsAreRejected() {
        String[][] cases = {
            {"400", "/page", "X-Txn:1;X-Lane:gift;X-Remaining-Ms:5"},
            {"400", "/page", "X-Txn:1;X-Lane:page;X-Lane:page;X-Remaining-Ms:5"},
            {"404", "/other", "X-Txn:1;X-Lane:other;X-Remaining-Ms:5"},
            {"404", "/", "X-Txn:1;X-Lane:page;X-Remaining-Ms:5"},
            {"400", "/page", "X-Remaining-Ms:5"},
            {"400", "/page", "X-Txn:;X-Remaining-Ms:5"},
            {"400", "/page", "X-Txn:a b;X-Remaining-Ms:5"},
            {"400", "/page", "X-Txn:" + "a".repeat(65) + ";X-Remaining-Ms:5"},
            {"400", "/page", "X-Txn:1;X-Txn:2;X-Remaining-Ms:5"},
            {"400", "/gift", "X-Txn:1;X-Remaining-Ms:5"},
            {"400", "/gift", "X-Txn:1;X-Remaining-Ms:5;Idempotency-Key:" + "k".repeat(129)},
            {"400", "/gift", "X-Txn:1;X-Remaining-Ms:5;Idempotency-Key:a;Idempotency-Key:b"},
            {"400", "/page", "X-Txn:1;X-Remaining-Ms:"},
            {"400", "/page", "X-Txn:1;X-Remaining-Ms:5;X-Remaining-Ms:5"},
            {"400", "/page", "X-Txn:1;X-Remaining-Ms:5.5"},
            {"400", "/page", "X-Txn:1;X-Remaining-Ms:1e3"},
            {"400", "/page", "X-Txn:1;X-Remaining-Ms:12001"},
            {"400", "/page", "X-Txn:1;X-Remaining-Ms:99999999999999999999"},
            {"400", "/page", "X-Txn:1"},
            {"400", "/page", "X-Txn:1;X-Remaining-Ms:soon"},
            {"400", "/page", "X-Txn:1;X-Remaining-Ms:-1"},
            {"400", "/page", "X-Txn:1;X-Remaining-Ms:NaN"},
            {"400", "/page", "X-Txn:1;X-Remaining-Ms:5;X-Labels:slots"},
            {"400", "/page", "X-Txn:1;X-Remaining-Ms:5;X-Labels:slots=0"},
        };
        for (String[] c : cases) {
            RejectedRequestException e = assertThrows(c[2], RejectedRequestException.class, () -> rpc(c[1], c[2]));
            assertEquals(c[2], Integer.parseInt(c[0]), e.status);
        }
    }

    @Test
    public void loadReportsAreParsed() {
        assertEquals(new Report(7, 2, 3), LOADS.parse("inflight=7, queue=2,x0=3,x1=1.5,util=0.6\n"));
        assertEquals(new Report(Double.NaN, Double.NaN, 3), LOADS.parse("x0=3,x1=full,x"));
        assertEquals("no free slot", 0, LOADS.parse("load_share=0.9,x0=0,x1=0").freeSlots(), 0);
        for (String nothing : new String[] {"", "util=0.5", "{}", "=,=", null, "tps=0,load_share=0,x0=0,x1=0"}) {
            assertNull(nothing, LOADS.parse(nothing));
        }
    }

    /** The outcome table of the protocol. */
    @Test
    public void subchannelResponsesMapToOutcomes() {
        SubchannelResponseParser parser = new SubchannelResponseParser(LOADS);
        Object[][] statuses = {
            {500, null, Outcome.ERROR}, {503, null, Outcome.ERROR}, {503, "1", Outcome.FULL},
            {504, "1", Outcome.FULL}, {504, "0", Outcome.ERROR}, {500, "1", Outcome.ERROR},
            {429, null, Outcome.ERROR}, {404, null, Outcome.NOT_SENT}, {400, null, Outcome.NOT_SENT},
        };
        for (Object[] c : statuses) {
            RecordingAttempt p = new RecordingAttempt();
            parser.status(p.attempt, (int) c[0], (String) c[1], null);
            assertEquals(c[2] + " once", p.events);
        }
        String[][] lines = {
            {"{\"state\":\"started\"}", "started"},
            {"{\"state\":\"running\",\"share\":0.4}", "running"},
            {"{\"id\":\"t1\",\"state\":\"started\"}", "started"},
            {"{\"id\":\"t1\",\"state\":\"done\",\"result\":\"r\"}", "OK once r"},
            {"{\"id\":\"t1\",\"state\":\"done\",\"result\":\"\"}", "OK once "},
            {"{\"id\":\"t1\",\"state\":\"failed\"}", "ERROR once"},
            {"{\"id\":\"t1\",\"state\":\"returned\"}", "FULL once"},
            {"{\"id\":\"t1\",\"state\":\"lost\"}", "RESET once"},
            {"{\"state\":\"new\"}", ""},
            {"{}", ""},
            {"", ""},
        };
        for (String[] c : lines) {
            RecordingAttempt p = new RecordingAttempt();
            parser.line(p.attempt, "t1", c[0]);
            assertEquals(c[0], c[1], p.events);
        }
    }

    /** Guards against lines of other requests, and lines without a result, that are taken for an answer (review/3). */
    @Test
    public void invalidLinesOfSubchannelsDoNotEndTheAttempt() {
        SubchannelResponseParser parser = new SubchannelResponseParser(LOADS);
        String[] lines = {
            "nonsense",
            "{\"id\":\"t2\",\"state\":\"started\"}",
            "{\"id\":\"t2\",\"state\":\"running\",\"share\":0.4}",
            "{\"id\":\"t2\",\"state\":\"done\",\"result\":\"r\"}",
            "{\"id\":\"t2\",\"state\":\"failed\"}",
            "{\"id\":\"t2\",\"state\":\"returned\"}",
            "{\"id\":\"t2\",\"state\":\"lost\"}",
            "{\"id\":1,\"state\":\"done\",\"result\":\"r\"}",
            "{\"id\":null,\"state\":\"done\",\"result\":\"r\"}",
            "{\"state\":\"done\",\"result\":\"r\"}",
            "{\"state\":\"returned\"}",
            "{\"id\":\"t1\",\"state\":\"done\"}",
            "{\"id\":\"t1\",\"state\":\"done\",\"result\":null}",
        };
        for (String line : lines) {
            RecordingAttempt p = new RecordingAttempt();
            assertThrows(line, IllegalArgumentException.class, () -> parser.line(p.attempt, "t1", line));
            assertEquals(line, "", p.events);
        }
    }

    @Test
    public void aSubchannelsIdOfDigitsMayBeANumber() {
        RecordingAttempt p = new RecordingAttempt();
        new SubchannelResponseParser(LOADS).line(p.attempt, "17", "{\"id\":17,\"state\":\"done\",\"result\":\"r\"}");
        assertEquals("OK once r", p.events);
    }

    @Test
    public void discoveryListsAreParsedAndMalformedOnesRejected() {
        ListParser lists = new ListParser(List.of("m1"), List.of("a"));
        String entry = "{\"id\":\"s\",\"host_port\":\"127.0.0.1:9\",\"locality\":\"a\",\"flavor\":\"m1\",\"cell\":3,"
                + "\"phase\":\"SERVING\",\"size\":1.0,\"up_since_ms\":5}";
        List<String> left = new ArrayList<>();
        ListUpdate u = lists.parse("{\"revision\":4,\"complete\":true,\"members\":[" + entry + "]}", left::add);
        assertEquals(5000, u.entries().get(0).info().startedAt());
        assertEquals("127.0.0.1:9", u.entries().get(0).address());
        for (String bad : new String[] {
            "",
            "[]",
            "{}",
            "{\"revision\":4,\"complete\":true}",
            "{\"revision\":4,\"complete\":true,\"members\":{}}",
            "{\"complete\":true,\"members\":[]}",
            "{\"revision\":4,\"complete\":true,\"members\":[" + entry + "]",
            "{\"revision\":4,\"revision\":5," + "\"complete\":true,\"members\":[]}",
            "{\"revision\":null,\"complete\":true,\"members\":[]}",
            "{\"revision\":4,\"complete\":1,\"members\":[]}",
            "{\"revision\":4,\"complete\":true,\"members\":[" + entry.replace("\"cell\":3", "\"id\":\"s\"") + "]}"
        }) {
            assertThrows(bad, IllegalArgumentException.class, () -> lists.parse(bad, left::add));
        }
        assertEquals(List.of(), left);
    }

    /** Only the invalid entry is left out; rejecting the whole list would end the watch over and over (finding 15). */
    @Test
    public void invalidListEntryIsLeftOutAndOthersAreKept() {
        ListParser lists = new ListParser(List.of("m1"), List.of("a"));
        String entry = "{\"id\":\"s\",\"host_port\":\"127.0.0.1:9\",\"locality\":\"a\",\"flavor\":\"m1\",\"cell\":3,"
                + "\"phase\":\"SERVING\",\"size\":1.0,\"up_since_ms\":5}";
        for (String bad : new String[] {
            "{}",
            "7",
            "null",
            entry.replace("SERVING", "ASLEEP"),
            entry.replace(":9", ":x"),
            entry.replace("\"id\"", "\"di\""),
            entry.replace("\"s\"", "[1,{}]"),
            "[" + entry + "]",
            entry.replace("\"SERVING\"", "{\"phase\":\"SERVING\"}"),
            entry.replace("\"127.0.0.1:9\"", "null")
        }) {
            List<String> left = new ArrayList<>();
            ListUpdate u = lists.parse(
                    "{\"revision\":4,\"complete\":true,\"members\":[" + bad + "," + entry + "]}", left::add);
            assertEquals(bad, 1, u.entries().size());
            assertEquals(bad, 1, left.size());
            assertTrue(left.get(0), left.get(0).startsWith("entry 0: "));
        }
    }

    /** Unknown fields, and fields of unexpected types, do not invalidate an entry. */
    @Test
    public void entriesOfAnotherVersionAreParsed() {
        ListParser lists = new ListParser(List.of("m1"), List.of("a"));
        ListUpdate u = lists.parse(
                "{\"news\":{\"members\":[]},\"members\":[{\"id\":\"s\",\"phase\":\"DELETED\","
                        + "\"tags\":{\"id\":\"x\",\"phase\":[1]},\"flavor\":null,\"locality\":{},\"cell\":\"7\"}],"
                        + "\"complete\":false,\"revision\":9}",
                bad -> fail(bad));
        assertEquals(
                new ListUpdate(
                        9,
                        false,
                        List.of(new ListUpdate.Entry(new WorkerInfo("s", WorkerState.GONE, -1, -1, 0, 7), ""))),
                u);
    }

    /** The list of a large fleet must be parsed without a tree; the allocation does not depend on the machine. */
    @Test
    public void longListIsParsedWithoutBuildingATree() {
        StringBuilder text = new StringBuilder("{\"revision\":4,\"complete\":true,\"members\":[");
        for (int i = 0; i < 2_000; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"id\":\"w")
                    .append(i)
                    .append("\",\"host_port\":\"127.0.0.1:9\",")
                    .append("\"locality\":\"a\",\"flavor\":\"m1\",\"cell\":3,\"phase\":\"SERVING\",\"size\":1.0,")
                    .append("\"up_since_ms\":0}");
        }
        String list = text.append("]}").toString();
        ListParser lists = new ListParser(List.of("m1"), List.of("a"));
        // loads the classes before the measurement
        lists.parse(list, bad -> fail(bad));
        com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        assertEquals(2_000, lists.parse(list, bad -> fail(bad)).entries().size());
        long each = (threads.getCurrentThreadAllocatedBytes() - before) / 2_000;
        assertTrue(each + " bytes per entry; a tree takes 2,500", each < 1_200);
    }

    @Test
    public void objectIsLocatedByNameInJsonText() {
        String[][] cases = {
            {"{\"x\":1}", "{\"a\":[{\"known\":{}}],\"known\" : {\"x\":1} ,\"b\":2}"},
            {"{}", "{\"known\":{}}"},
            {null, "{\"known\":null}"},
            {null, "{\"known\":7}"},
            {null, "{\"a\":{\"known\":{}}}"},
            {null, ""},
            {null, "[]"},
            {null, "{\"known\":{"},
            {null, "project"},
            {"{\"x\":\"}\"}", "{\"known\":{\"x\":\"}\"}}"},
        };
        for (String[] c : cases) {
            int[] at = ListParser.findObject(c[1], "known");
            assertEquals(c[1], c[0], at == null ? null : c[1].substring(at[0], at[1]));
        }
    }

    @Test
    public void linesAreSplitIndependentlyOfChunks() {
        List<String> got = new ArrayList<>();
        LineSplitter lines = new LineSplitter(8, got::add);
        for (String chunk : new String[] {"on", "e\ntwo\n\nth", "ree\r\n", "end"}) {
            lines.feed(Buffer.buffer(chunk));
        }
        lines.end();
        assertEquals(List.of("one", "two", "", "three", "end"), got);
        assertThrows(IllegalArgumentException.class, () -> lines.feed(Buffer.buffer("far too long")));
    }

    /** The lines do not depend on the chunk size, even if a chunk ends within a multi-byte character. */
    @Test
    public void anyChunkSizeGivesTheSameLines() {
        String text = "eins\n\n zw\u00f6lf \r\n" + "\u20ac".repeat(30_000) + "\nlast";
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        List<String> whole = List.of("eins", "", "zw\u00f6lf", "\u20ac".repeat(30_000), "last");
        for (int size : new int[] {1, 2, 3, 7, 100, 8_192, 70_000, bytes.length}) {
            List<String> got = new ArrayList<>();
            LineSplitter lines = new LineSplitter(100_000, got::add);
            for (int i = 0; i < bytes.length; i += size) {
                lines.feed(Buffer.buffer(Arrays.copyOfRange(bytes, i, Math.min(bytes.length, i + size))));
            }
            lines.end();
            assertEquals("chunk size " + size, whole, got);
        }
        List<String> got = new ArrayList<>();
        LineSplitter bounded = new LineSplitter(10, got::add);
        bounded.feed(Buffer.buffer("1234567890"));
        bounded.feed(Buffer.buffer("\n123456789"));
        assertThrows(IllegalArgumentException.class, () -> bounded.feed(Buffer.buffer("01")));
        assertEquals(List.of("1234567890"), got);
    }

    /** A connect failure counts against the worker only if it was not caused by a lack of local resources. */
    @Test
    public void connectFailuresMapToOutcomes() {
        Object[][] cases = {
            {new java.net.ConnectException("Connection refused"), Outcome.CONNECT_FAILED},
            {new java.net.SocketException("Too many open files"), Outcome.NOT_SENT},
            {new java.net.BindException("Address already in use"), Outcome.NOT_SENT},
            {new java.io.IOException("closed"), Outcome.CONNECT_FAILED},
            {
                new io.netty.channel.ChannelException(
                        "Failed to open a socket.", new java.net.SocketException("Too many open files in system")),
                Outcome.NOT_SENT
            },
            {new java.net.SocketException(), Outcome.CONNECT_FAILED},
        };
        for (Object[] c : cases) {
            assertEquals(c[0].toString(), c[1], Dialer.connectFailureOutcome((Throwable) c[0]));
        }
    }

    /** Text sent by clients may appear in a log line: it is truncated and made printable. */
    @Test
    public void logLinesAreTruncatedAndPrintable() {
        assertEquals("a?[31m?b?", BoundedLog.sanitize("a\u001b[31m\nb\u00ff"));
        assertEquals(200, BoundedLog.sanitize("x".repeat(70_000)).length());
    }

    @Test
    public void addressesAreParsedAndMalformedOnesRejected() {
        assertEquals(new Address("127.0.0.1", 90), Address.parse("127.0.0.1:90"));
        for (String bad : new String[] {"", ":1", "a", "a:", "a:0", "a:65536", "a:b"}) {
            assertThrows(bad, IllegalArgumentException.class, () -> Address.parse(bad));
        }
    }
}
