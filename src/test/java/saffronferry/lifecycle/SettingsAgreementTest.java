package saffronferry.lifecycle;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.json.JSONArray;
import org.json.JSONObject;
import org.junit.Test;

/** Settings that change at run time: a new file at one of several processes takes effect at all of them. */
public class SettingsAgreementTest extends SocketsFixture {
    /** Both can be raised for a measurement: {@code -Dagree.size=16 -Dagree.changes=200}. */
    private static final int SIZE = Integer.getInteger("agree.size", 3);

    private static final int CHANGES = Integer.getInteger("agree.changes", 3);
    private static final int LOSS_PERCENT = Integer.getInteger("agree.loss", 40);
    private final List<JSONObject> configs = new ArrayList<>();
    private final List<Path> files = new ArrayList<>();
    private final List<Process> processes = new ArrayList<>();
    private LossyNetwork network;

    private static void signal(Process process, String name) throws Exception {
        assertEquals(
                0,
                new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                        .start()
                        .waitFor());
    }

    private boolean logContains(String text) {
        try {
            return Files.readString(logFile).contains(text);
        } catch (java.io.IOException e) {
            return false;
        }
    }

    private void startAll() throws Exception {
        logFile = Files.createTempFile("said", ".txt");
        closeAfterTest(() -> Files.delete(logFile));
        InetSocketAddress[] listen = new InetSocketAddress[SIZE];
        for (int i = 0; i < SIZE; i++) {
            listen[i] = new InetSocketAddress("127.0.0.1", freePort());
        }
        network = closeAfterTest(new LossyNetwork(listen));
        for (int i = 0; i < SIZE; i++) {
            JSONObject c = new JSONObject(config.toString());
            c.put("listen", "127.0.0.1:" + freePort()).put("console", "127.0.0.1:" + freePort());
            JSONArray peers = new JSONArray();
            for (int peer = 0; peer < SIZE; peer++) {
                peers.put(network.address(peer, i));
            }
            c.put("peer_listen", peers.getString(i)).put("peers", peers).remove("seed");
            c.put("agree", new JSONObject().put("secret", "known to the fleet alone"));
            c.getJSONObject("settings").put("slotNo", i).put("peersTotal", SIZE);
            configs.add(c);
        }
        for (int i = 0; i < SIZE; i++) {
            config = configs.get(i);
            files.add(configFile());
            processes.add(startProcess(files.get(i)));
        }
    }

    private long metric(int node, String name) {
        config = configs.get(node);
        try {
            return metric("app_settings_" + name);
        } catch (Exception e) {
            return -1; // the process is not up, or is stopped
        }
    }

    private void awaitEverywhere(String name, long value) throws InterruptedException {
        for (int i = 0; i < SIZE; i++) {
            int node = i;
            await(() -> metric(node, name) == value);
        }
    }

    private static JSONArray realms(JSONObject config) {
        return config.getJSONObject("settings").getJSONArray("realms");
    }

    private void reload(int node, JSONObject file) throws Exception {
        Files.writeString(files.get(node), file.toString());
        signal(processes.get(node), "HUP");
    }

    @Test
    public void aReloadedFileTakesEffectAtAllProcessesIncludingRestartedOnes() throws Exception {
        startAll();
        awaitEverywhere("state", 0);
        assertEquals(0, metric(0, "held"));

        // one changed, one removed, one added
        JSONObject next = new JSONObject(configs.get(0).toString());
        realms(next).getJSONObject(0).put("allowancePerS", 70);
        realms(next).getJSONObject(1).put("name", "athlone-arts");
        reload(0, next);
        awaitEverywhere("held", 3);
        awaitEverywhere("marks", 1);
        long digest = metric(0, "digest");
        awaitEverywhere("digest", digest);
        assertTrue(logContains("settings.realms.kilbarron-grads.allowancePerS 70 of dispatcher 0"));

        // a faulty file is rejected as a whole
        JSONObject faulty = new JSONObject(configs.get(1).toString());
        realms(faulty).getJSONObject(0).put("allowancePerS", 80);
        realms(faulty).getJSONObject(1).put("allowancePerS", -1);
        reload(1, faulty);
        await(() ->
                logContains("configuration key settings.realms.lisdara-college.allowancePerS: must be a number of 0"));
        assertEquals(digest, metric(1, "digest"));
        // a process that was stopped meanwhile, and still has its old file, catches up
        signal(processes.get(2), "STOP");
        realms(faulty).getJSONObject(1).put("allowancePerS", 31);
        reload(1, faulty);
        await(() -> metric(0, "digest") != digest && metric(0, "digest") == metric(1, "digest"));
        signal(processes.get(2), "CONT");
        awaitEverywhere("digest", metric(0, "digest"));
        assertEquals("the removal of lisdara-college is replaced by its new quota", 3, metric(0, "held"));
        assertEquals(0, metric(2, "marks"));

        processes.get(2).destroyForcibly().waitFor();
        config = configs.get(2);
        processes.set(2, startProcess(files.get(2)));
        awaitEverywhere("digest", metric(0, "digest"));
        awaitEverywhere("state", 0);
        awaitEverywhere("behind_seconds", 0);
        assertTrue(logContains("agreed upon with another dispatcher, 3 changes held"));
    }

    /**
     * During a network partition both sides change the same key and one side another one; datagrams are lost,
     * duplicated and reordered. After the partition the later change applies everywhere.
     */
    @Test
    public void bothSidesOfAPartitionAgreeOnTheLaterChange() throws Exception {
        startAll();
        degradeNetwork();
        awaitEverywhere("state", 0);
        network.partitionAt = 1;
        JSONObject one = new JSONObject(configs.get(0).toString());
        realms(one).getJSONObject(0).put("allowancePerS", 60);
        reload(0, one);
        await(() -> metric(0, "held") == 1);
        JSONObject other = new JSONObject(configs.get(1).toString());
        realms(other).getJSONObject(0).put("allowancePerS", 70);
        realms(other).getJSONObject(1).put("allowancePerS", 40);
        reload(1, other);
        await(() -> metric(2, "held") == 2);
        assertEquals(1, metric(0, "held"));
        long later = metric(1, "digest");
        network.partitionAt = 0;
        awaitEverywhere("digest", later);
        assertTrue(logContains("settings.realms.kilbarron-grads.allowancePerS 70 of dispatcher 1"));
    }

    private void degradeNetwork() {
        network.loss = LOSS_PERCENT / 100.0;
        network.duplicated = 0.3;
        network.maxDelayMs = 30;
    }

    /** Prints the time from each reload until all processes have applied the change, as seen at their consoles. */
    @Test
    public void consecutiveChangesTakeEffectEverywhere() throws Exception {
        startAll();
        awaitEverywhere("state", 0);
        degradeNetwork();
        List<Double> took = new ArrayList<>();
        JSONObject next = new JSONObject(configs.get(0).toString());
        for (int i = 0; i < CHANGES; i++) {
            realms(next).getJSONObject(0).put("allowancePerS", 100 + i);
            long before = metric(0, "digest");
            long from = System.nanoTime();
            reload(0, next);
            await(() -> metric(0, "digest") != before);
            awaitEverywhere("digest", metric(0, "digest"));
            took.add((System.nanoTime() - from) / 1e9);
        }
        java.util.Collections.sort(took);
        System.out.printf(
                "%d processes, %d %% lost, %d changes: in force after p50 %.2f s, p99 %.2f s, max %.2f s%n",
                SIZE,
                LOSS_PERCENT,
                CHANGES,
                took.get(CHANGES / 2),
                took.get((int) Math.ceil(0.99 * CHANGES) - 1),
                took.get(CHANGES - 1));
        for (int i = 0; i < SIZE; i++) {
            assertEquals(1, metric(i, "held"));
        }
    }

    /** Datagrams from an unknown address, and from the address of a peer but without the secret, are dropped. */
    @Test
    public void datagramsFromUnknownAddressesOrWithoutTheSecretChangeNothing() throws Exception {
        startAll();
        awaitEverywhere("state", 0);
        byte[] forged = new byte[60];
        forged[0] = 1;
        forged[6] = (byte) 0xA7;
        try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            // to the dispatcher itself, and by the link from dispatcher 2
            for (String to : new String[] {network.address(0, 0), network.address(0, 2)}) {
                stranger.send(new DatagramPacket(
                        forged, forged.length, InetAddress.getByName("127.0.0.1"), Integer.parseInt(to.split(":")[1])));
            }
            await(() -> logContains("datagram dropped: 60 bytes from") && metric(0, "dropped") == 1);
        }
        assertEquals(0, metric(0, "held"));
        assertTrue(processes.get(0).isAlive());
    }
}
