package saffronferry.rig;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import saffronferry.Contract.Effect;
import saffronferry.lab.scenario.Scenario;

/** The clients and the front that spreads them; it notices late that a dispatcher has died. */
final class LoadGenerator {
    private static final int MOST_CONNECTIONS = 2_000;
    /** So long after its time a client gives up for good: what comes later is judged as lost. */
    private static final long PATIENCE = 500_000;

    private final Vertx vertx;
    private final Scenario scenario;
    private final List<DispatcherProcess> dispatchers;
    private final RunVerifier judge;
    private final LongSupplier clock;
    private final SplittableRandom arrivals;
    private final SplittableRandom spread;
    private final HttpClient client;
    private final long[] deadSince;
    private final double perSecond;
    private long sent;

    LoadGenerator(
            Vertx vertx,
            Scenario scenario,
            List<DispatcherProcess> dispatchers,
            RunVerifier judge,
            LongSupplier clock,
            double perSecond,
            SplittableRandom random) {
        this.vertx = vertx;
        this.scenario = scenario;
        this.dispatchers = dispatchers;
        this.judge = judge;
        this.clock = clock;
        this.perSecond = perSecond;
        arrivals = random.split();
        spread = random.split();
        deadSince = new long[dispatchers.size()];
        client = vertx.createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true).setConnectTimeout(5_000),
                new PoolOptions().setHttp1MaxSize(MOST_CONNECTIONS));
    }

    /** A dispatcher has died, or with {@code false} serves again. */
    void dead(int dispatcher, boolean dead) {
        long since = deadSince[dispatcher];
        deadSince[dispatcher] = !dead ? 0 : since > 0 ? since : clock.getAsLong();
    }

    /** A dispatcher is left at once: no client is sent there any more. */
    void gone(int dispatcher) {
        deadSince[dispatcher] = 1;
    }

    /** Asks until that time, as chance has it; late timers do not thin it out. */
    void load(long until) {
        next(clock.getAsLong(), until);
    }

    private void next(long last, long until) {
        long at = last + Math.round(-Math.log(1 - arrivals.nextDouble()) / perSecond * 1e6);
        if (at < until) {
            vertx.setTimer(Math.max(1, (at - clock.getAsLong()) / 1000), t -> {
                ask();
                next(at, until);
            });
        }
    }

    private int pick(double[] weights, double at) {
        double left = at * Arrays.stream(weights).sum();
        for (int i = 0; i < weights.length; i++) {
            left -= weights[i];
            if (left < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    private double weight(DispatcherProcess d) {
        long dead = deadSince[d.number];
        boolean noticed =
                dead > 0 && clock.getAsLong() - dead > scenario.network().frontNotice();
        return noticed ? 0 : scenario.load().uneven().weight(d.number, dispatchers.size());
    }

    private void ask() {
        int c = pick(
                scenario.classes().stream()
                        .mapToDouble(Scenario.RpcClass::share)
                        .toArray(),
                arrivals.nextDouble());
        int tenant = pick(
                scenario.tenants().stream().mapToDouble(Scenario.Tenant::share).toArray(), arrivals.nextDouble());
        Scenario.RpcClass spec = scenario.classes().get(c);
        double tail = spec.tail();
        double work = Math.max(1, spec.work() * Math.exp(tail * normal() - tail * tail / 2));
        DispatcherProcess d = dispatchers.get(
                pick(dispatchers.stream().mapToDouble(this::weight).toArray(), spread.nextDouble()));
        long now = clock.getAsLong();
        String txn = "t" + ++sent;
        RunVerifier.Request r = judge.asks(now, txn, c, work, d.number, d.life());
        client.request(new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(d.host)
                        .setPort(d.port)
                        .setURI("/" + spec.name() + "?obj=" + Long.toHexString(sent)))
                .onSuccess(
                        q -> send(q, r, d, spec, scenario.tenants().get(tenant).name()))
                .onFailure(e -> judge.ended(clock.getAsLong(), r, RunVerifier.ClientOutcome.UNREACHABLE));
    }

    private double normal() {
        return Math.sqrt(-2 * Math.log(1 - arrivals.nextDouble())) * Math.cos(2 * Math.PI * arrivals.nextDouble());
    }

    private void send(
            HttpClientRequest q, RunVerifier.Request r, DispatcherProcess d, Scenario.RpcClass spec, String tenant) {
        int life = d.life();
        q.putHeader("X-Txn", r.txn)
                .putHeader("X-Lane", spec.name())
                .putHeader("X-Org", tenant)
                .putHeader("X-Remaining-Ms", Long.toString(spec.deadline() / 1000));
        if (spec.effect() == Effect.KEYED) {
            q.putHeader("Idempotency-Key", "k" + r.txn);
        }
        judge.written(clock.getAsLong(), r, d.stopped());
        vertx.setTimer((spec.deadline() + PATIENCE) / 1000, t -> {
            if (!r.over) {
                judge.ended(clock.getAsLong(), r, RunVerifier.ClientOutcome.NO_ANSWER);
                q.reset();
            }
        });
        q.exceptionHandler(e -> broken(r, d, life));
        q.send(Buffer.buffer("work"))
                .compose(answer -> answer.body().onSuccess(body -> {
                    int status = answer.statusCode();
                    judge.ended(
                            clock.getAsLong(),
                            r,
                            status == 200
                                    ? RunVerifier.ClientOutcome.SERVED
                                    : status == 503 || status == 429 ? RunVerifier.ClientOutcome.REFUSED : RunVerifier.ClientOutcome.FAILED);
                }))
                .onFailure(e -> broken(r, d, life));
    }

    /** A connection that broke is its process's end, or a request that the dispatcher has lost. */
    private void broken(RunVerifier.Request r, DispatcherProcess d, int life) {
        vertx.setTimer(
                20,
                t -> judge.ended(
                        clock.getAsLong(),
                        r,
                        d.alive() && d.life() == life ? RunVerifier.ClientOutcome.NO_ANSWER : RunVerifier.ClientOutcome.DIED_WITH_IT));
    }
}
