package saffronferry.adapter;

import java.nio.charset.StandardCharsets;
import java.util.List;
import saffronferry.Contract;
import saffronferry.Dispatcher;
import saffronferry.settings.SettingsReader;

/** One dispatcher under the simulator; writes the dispatcher's actions as reply lines. */
final class DispatcherInstance implements Contract.Actions {
    final int number;
    final SettingsReader settingsReader;
    final byte[][] classes;
    final byte[][] tenants;
    final Contract.Events dispatcher;
    private final SimulatorProtocol protocol;

    DispatcherInstance(int number, SettingsReader settingsReader, SimulatorProtocol protocol) {
        this.number = number;
        this.settingsReader = settingsReader;
        this.protocol = protocol;
        classes = utf8(settingsReader.classes);
        tenants = utf8(settingsReader.tenants);
        dispatcher = new Dispatcher(settingsReader.settings, this);
    }

    private static byte[][] utf8(List<String> texts) {
        return texts.stream().map(t -> t.getBytes(StandardCharsets.UTF_8)).toArray(byte[][]::new);
    }

    private LineWriter action(String name) {
        return protocol.replyFrom(number).text(name).space();
    }

    @Override
    public void startAttempt(long id, String worker) {
        action("send").number(id).space().text(worker).space().text("-").endLine();
    }

    @Override
    public void cancelAttempt(long id, int attempt) {
        action("cancel").number(id).space().number(attempt).endLine();
    }

    @Override
    public void refuse(long id, long retryAfter) {
        LineWriter line = action("push_back").number(id).space();
        if (retryAfter == 0) {
            line.text("-");
        } else {
            line.time(retryAfter);
        }
        line.endLine();
    }

    @Override
    public void fail(long id) {
        action("end_failed").number(id).endLine();
    }

    @Override
    public void startTimer(long token, long delay) {
        action("notify_me").number(token).space().time(delay).endLine();
    }

    @Override
    public void probe(String worker) {
        action("touch").text(worker).endLine();
    }

    @Override
    public void sendToPeer(int peer, byte[] bytes) {
        action("say").number(peer).space().base64(bytes).endLine();
    }

    @Override
    public void subscribe() {
        action("watch").number(1).endLine();
    }
}
