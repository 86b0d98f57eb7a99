package saffronferry.adapter;

import java.nio.charset.StandardCharsets;
import java.util.List;
import saffronferry.Contract;
import saffronferry.Dispatcher;
import saffronferry.settings.SettingsReader;

/** One dispatcher of the process: its module, the names in its settings, and its actions as reply lines. */
final class Instance implements Contract.Actions {
    final int number;
    final SettingsReader names;
    final byte[][] classes;
    final byte[][] tenants;
    final Contract.Events module;
    private final Wire wire;

    Instance(int number, SettingsReader names, Wire wire) {
        this.number = number;
        this.names = names;
        this.wire = wire;
        classes = bytes(names.classes);
        tenants = bytes(names.tenants);
        module = new Dispatcher(names.settings, this);
    }

    private static byte[][] bytes(List<String> texts) {
        return texts.stream().map(t -> t.getBytes(StandardCharsets.UTF_8)).toArray(byte[][]::new);
    }

    private LineWriter action(String name) {
        return wire.replyOf(number).text(name).space();
    }

    @Override
    public void send(long id, String worker) {
        action("send").number(id).space().text(worker).space().text("-").end();
    }

    @Override
    public void cancel(long id, int attempt) {
        action("cancel").number(id).space().number(attempt).end();
    }

    @Override
    public void refuse(long id, long retryAfter) {
        LineWriter line = action("push_back").number(id).space();
        if (retryAfter == 0) {
            line.text("-");
        } else {
            line.time(retryAfter);
        }
        line.end();
    }

    @Override
    public void fail(long id) {
        action("end_failed").number(id).end();
    }

    @Override
    public void timer(long token, long delay) {
        action("notify_me").number(token).space().time(delay).end();
    }

    @Override
    public void probe(String worker) {
        action("touch").text(worker).end();
    }

    @Override
    public void tell(int peer, byte[] bytes) {
        action("say").number(peer).space().base64(bytes).end();
    }

    @Override
    public void subscribe() {
        action("watch").number(1).end();
    }
}
