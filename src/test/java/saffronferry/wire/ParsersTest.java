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
import saffronferry.Contract.Effect;
import saffronferry.Contract.Group;
import saffronferry.Contract.JobClass;
import saffronferry.Contract.Outcome;
import saffronferry.Contract.Report;
import saffronferry.Contract.WorkerInfo;
import saffronferry.Contract.WorkerState;
import saffronferry.log.BoundedLog;
import saffronferry.state.AttemptProbe;
import saffronferry.state.ListUpdate;
import saffronferry.state.RpcInfo;

/** Tables of cases for what comes off the wire. */
public class ParsersTest {
    private static final RpcParser RPCS =
            new RpcParser(List.of(jobClass("page", Effect.SAFE), jobClass("gift", Effect.KEYED)), List.of("acme"));
    private static final LoadParser LOADS = new LoadParser("x0");

    private static JobClass jobClass(String name, Effect effect) {
        return new JobClass(name, 0, 0, 6_000_000, 1, 0, effect, Group.CELL, 0, -1);
    }

    /** Headers as {@code name:value;name:value}. */
    private static RpcInfo rpc(String path, String headers) throws BadRequest {
        Map<String, List<String>> map = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        for (String h : headers.split(";")) {
            map.computeIfAbsent(h.substring(0, h.indexOf(':')), n -> new ArrayList<>())
                    .add(h.substring(h.indexOf(':') + 1));
        }
        return RPCS.parse(path, name -> map.getOrDefault(name, List.of()));
    }

    @Test
    public void requestsThatAreWellFormed() throws BadRequest {
        Object[][] cases = {
            // path, headers, class, tenant, microseconds, slots, repeat
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
                    List.<Object>of(r.rpcClass(), r.tenant(), r.remaining(), r.slots(), r.repeat()));
        }
    }

    @Test
    public void requestsThatAreMalformed() {
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
            BadRequest e = assertThrows(c[2], BadRequest.class, () -> rpc(c[1], c[2]));
            assertEquals(c[2], Integer.parseInt(c[0]), e.status);
        }
    }

    @Test
    public void loadReports() {
        assertEquals(new Report(7, 2, 3), LOADS.parse("inflight=7, queue=2,x0=3,x1=1.5,util=0.6\n"));
        assertEquals(new Report(Double.NaN, Double.NaN, 3), LOADS.parse("x0=3,x1=full,x"));
        assertEquals(
                "busy to the last slot",
                0,
                LOADS.parse("load_share=0.9,x0=0,x1=0").freeSlots(),
                0);
        for (String nothing : new String[] {"", "util=0.5", "{}", "=,=", null, "tps=0,load_share=0,x0=0,x1=0"}) {
            assertNull(nothing, LOADS.parse(nothing));
        }
    }

    /** The outcome table of the protocol. */
    @Test
    public void answersOfSubchannels() {
        AnswerParser answers = new AnswerParser(LOADS);
        Object[][] statuses = {
            {500, null, Outcome.ERROR}, {503, null, Outcome.ERROR}, {503, "1", Outcome.FULL},
            {504, "1", Outcome.FULL}, {504, "0", Outcome.ERROR}, {500, "1", Outcome.ERROR},
            {429, null, Outcome.ERROR}, {404, null, Outcome.NOT_SENT}, {400, null, Outcome.NOT_SENT},
        };
        for (Object[] c : statuses) {
            AttemptProbe p = new AttemptProbe();
            answers.status(p.attempt, (int) c[0], (String) c[1], null);
            assertEquals(c[2] + " once", p.heard);
        }
        String[][] lines = {
            {"{\"state\":\"started\"}", "started"},
            {"{\"state\":\"running\",\"share\":0.4}", "running"},
            {"{\"state\":\"done\",\"result\":\"r\"}", "OK once r"},
            {"{\"state\":\"failed\"}", "ERROR once"},
            {"{\"state\":\"returned\"}", "FULL once"},
            {"{\"state\":\"lost\"}", "RESET once"},
            {"{\"state\":\"new\"}", ""},
            {"{}", ""},
            {"", ""},
        };
        for (String[] c : lines) {
            AttemptProbe p = new AttemptProbe();
            answers.line(p.attempt, c[0]);
            assertEquals(c[0], c[1], p.heard);
        }
        AttemptProbe p = new AttemptProbe();
        assertThrows(IllegalArgumentException.class, () -> answers.line(p.attempt, "nonsense"));
        assertEquals("", p.heard);
    }

    @Test
    public void listsOfDiscovery() {
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

    /** Finding 15 of the review: such an entry cost the whole list, and the watch, again and again. */
    @Test
    public void anEntryThatCannotBeReadCostsThatEntryOnly() {
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

    /** What an entry has beyond what is read, or has otherwise than usual, costs nothing. */
    @Test
    public void entriesOfAnotherVersionAreRead() {
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

    /** Of a list that is as long as a fleet's, no tree is made: allocation is the same on any machine. */
    @Test
    public void aLongListTakesLittleMoreMemoryThanItsText() {
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
        lists.parse(list, bad -> fail(bad)); // loads classes
        com.sun.management.ThreadMXBean threads = (com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getCurrentThreadAllocatedBytes();
        assertEquals(2_000, lists.parse(list, bad -> fail(bad)).entries().size());
        long each = (threads.getCurrentThreadAllocatedBytes() - before) / 2_000;
        assertTrue(each + " bytes an entry; as a tree 2,500", each < 1_200);
    }

    @Test
    public void anObjectIsFoundInATextWithoutReadingIt() {
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
            int[] at = ListParser.find(c[1], "known");
            assertEquals(c[1], c[0], at == null ? null : c[1].substring(at[0], at[1]));
        }
    }

    @Test
    public void linesHoweverTheChunksFall() {
        List<String> got = new ArrayList<>();
        Lines lines = new Lines(8, got::add);
        for (String chunk : new String[] {"on", "e\ntwo\n\nth", "ree\r\n", "end"}) {
            lines.feed(Buffer.buffer(chunk));
        }
        lines.end();
        assertEquals(List.of("one", "two", "", "three", "end"), got);
        assertThrows(IllegalArgumentException.class, () -> lines.feed(Buffer.buffer("far too long")));
    }

    /** The same lines come of the same bytes wherever they are cut, signs of several bytes too. */
    @Test
    public void anyCutGivesTheSameLines() {
        String text = "eins\n\n zw\u00f6lf \r\n" + "\u20ac".repeat(30_000) + "\nlast";
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        List<String> whole = List.of("eins", "", "zw\u00f6lf", "\u20ac".repeat(30_000), "last");
        for (int size : new int[] {1, 2, 3, 7, 100, 8_192, 70_000, bytes.length}) {
            List<String> got = new ArrayList<>();
            Lines lines = new Lines(100_000, got::add);
            for (int i = 0; i < bytes.length; i += size) {
                lines.feed(Buffer.buffer(Arrays.copyOfRange(bytes, i, Math.min(bytes.length, i + size))));
            }
            lines.end();
            assertEquals("cut each " + size, whole, got);
        }
        List<String> got = new ArrayList<>();
        Lines bounded = new Lines(10, got::add);
        bounded.feed(Buffer.buffer("1234567890"));
        bounded.feed(Buffer.buffer("\n123456789"));
        assertThrows(IllegalArgumentException.class, () -> bounded.feed(Buffer.buffer("01")));
        assertEquals(List.of("1234567890"), got);
    }

    /** A worker is blamed for a connection that never came up only where it was not our own want. */
    @Test
    public void connectionsThatNeverCameUp() {
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
            assertEquals(c[0].toString(), c[1], Dialer.unopened((Throwable) c[0]));
        }
    }

    /** What a client sent may stand in a line of the log: it is cut and made printable. */
    @Test
    public void linesOfTheLog() {
        assertEquals("a?[31m?b?", BoundedLog.sanitize("a\u001b[31m\nb\u00ff"));
        assertEquals(200, BoundedLog.sanitize("x".repeat(70_000)).length());
    }

    @Test
    public void addresses() {
        assertEquals(new Address("127.0.0.1", 90), Address.parse("127.0.0.1:90"));
        for (String bad : new String[] {"", ":1", "a", "a:", "a:0", "a:65536", "a:b"}) {
            assertThrows(bad, IllegalArgumentException.class, () -> Address.parse(bad));
        }
    }
}
