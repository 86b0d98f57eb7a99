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
import saffronferry.Contract.Idempotency;
import saffronferry.lab.scenario.Scenario;

/**
 * Simulates the clients and the front-end load balancer that spreads them over the dispatchers. The front end
 * notices a dead dispatcher only after the scenario's delay.
 */
final class LoadGenerator {
    private static final int MAX_CONNECTIONS_PER_DISPATCHER = 2_000;
    /** A client gives up this long after the deadline; a later answer counts as none. */
    private static final long CLIENT_GIVE_UP_DELAY_US = 500_000;

    private final Vertx vertx;
    private final Scenario scenario;
    private final List<DispatcherProcess> dispatchers;
    private final RunVerifier verifier;
    private final LongSupplier clock;
    private final SplittableRandom arrivals;
    private final SplittableRandom spread;
    private final HttpClient client;
    private final long[] deadSince;
    private final double requestsPerSecond;
    private long sentCount;

    LoadGenerator(
            Vertx vertx,
            Scenario scenario,
            List<DispatcherProcess> dispatchers,
            RunVerifier verifier,
            LongSupplier clock,
            double requestsPerSecond,
            SplittableRandom random) {
        this.vertx = vertx;
        this.scenario = scenario;
        this.dispatchers = dispatchers;
        this.verifier = verifier;
        this.clock = clock;
        this.requestsPerSecond = requestsPerSecond;
        arrivals = random.split();
        spread = random.split();
        deadSince = new long[dispatchers.size()];
        client = vertx.createHttpClient(
                new HttpClientOptions().setTcpNoDelay(true).setConnectTimeout(5_000),
                new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS_PER_DISPATCHER));
    }

    /** Marks a dispatcher as dead, or with {@code false} as serving again. */
    void setDead(int dispatcher, boolean dead) {
        long since = deadSince[dispatcher];
        deadSince[dispatcher] = !dead ? 0 : since > 0 ? since : clock.getAsLong();
    }

    /** Removes a dispatcher at once, without the front end's detection delay. */
    void removeFromRotation(int dispatcher) {
        deadSince[dispatcher] = 1;
    }

    /**
     * Sends requests as a Poisson process until a time. Each arrival follows from the scheduled time of the
     * previous one, so that late timers do not lower the rate.
     */
    void start(long until) {
        scheduleNext(clock.getAsLong(), until);
    }

    private void scheduleNext(long last, long until) {
        long at = last + Math.round(-Math.log(1 - arrivals.nextDouble()) / requestsPerSecond * 1e6);
        if (at < until) {
            vertx.setTimer(Math.max(1, (at - clock.getAsLong()) / 1000), t -> {
                sendRequest();
                scheduleNext(at, until);
            });
        }
    }

    private int pickWeighted(double[] weights, double at) {
        double remaining = at * Arrays.stream(weights).sum();
        for (int i = 0; i < weights.length; i++) {
            remaining -= weights[i];
            if (remaining < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    private double weight(DispatcherProcess d) {
        long since = deadSince[d.number];
        boolean noticed =
                since > 0 && clock.getAsLong() - since > scenario.network().frontNotice();
        return noticed ? 0 : scenario.load().dispatcherSkew().weight(d.number, dispatchers.size());
    }

    private void sendRequest() {
        int c = pickWeighted(
                scenario.classes().stream()
                        .mapToDouble(Scenario.RpcClass::share)
                        .toArray(),
                arrivals.nextDouble());
        int tenant = pickWeighted(
                scenario.tenants().stream().mapToDouble(Scenario.Tenant::share).toArray(), arrivals.nextDouble());
        Scenario.RpcClass spec = scenario.classes().get(c);
        double tail = spec.tail();
        double work = Math.max(1, spec.work() * Math.exp(tail * normal() - tail * tail / 2));
        DispatcherProcess d = dispatchers.get(
                pickWeighted(dispatchers.stream().mapToDouble(this::weight).toArray(), spread.nextDouble()));
        long now = clock.getAsLong();
        String txn = "t" + ++sentCount;
        RunVerifier.Request r = verifier.openRequest(now, txn, c, work, d.number, d.generation());
        client.request(new RequestOptions()
                        .setMethod(HttpMethod.POST)
                        .setHost(d.host)
                        .setPort(d.port)
                        .setURI("/" + spec.name() + "?obj=" + Long.toHexString(sentCount)))
                .onSuccess(
                        q -> send(q, r, d, spec, scenario.tenants().get(tenant).name()))
                .onFailure(e -> verifier.recordOutcome(clock.getAsLong(), r, RunVerifier.ClientOutcome.UNREACHABLE));
    }

    private double normal() {
        return Math.sqrt(-2 * Math.log(1 - arrivals.nextDouble())) * Math.cos(2 * Math.PI * arrivals.nextDouble());
    }

    private void send(
            HttpClientRequest clientRequest,
            RunVerifier.Request r,
            DispatcherProcess d,
            Scenario.RpcClass spec,
            String tenant) {
        int generation = d.generation();
        clientRequest
                .putHeader("X-Txn", r.txn)
                .putHeader("X-Lane", spec.name())
                .putHeader("X-Org", tenant)
                .putHeader("X-Remaining-Ms", Long.toString(spec.deadline() / 1000));
        if (spec.effect() == Idempotency.KEYED) {
            clientRequest.putHeader("Idempotency-Key", "k" + r.txn);
        }
        verifier.recordSent(clock.getAsLong(), r, d.paused());
        vertx.setTimer((spec.deadline() + CLIENT_GIVE_UP_DELAY_US) / 1000, t -> {
            if (!r.completed) {
                verifier.recordOutcome(clock.getAsLong(), r, RunVerifier.ClientOutcome.NO_ANSWER);
                clientRequest.reset();
            }
        });
        clientRequest.exceptionHandler(e -> connectionBroken(r, d, generation));
        clientRequest
                .send(Buffer.buffer("work"))
                .compose(answer -> answer.body().onSuccess(body -> {
                    int status = answer.statusCode();
                    verifier.recordOutcome(
                            clock.getAsLong(),
                            r,
                            status == 200
                                    ? RunVerifier.ClientOutcome.SERVED
                                    : status == 503 || status == 429
                                            ? RunVerifier.ClientOutcome.REFUSED
                                            : RunVerifier.ClientOutcome.FAILED);
                }))
                .onFailure(e -> connectionBroken(r, d, generation));
    }

    /** Records a broken connection: either the process has ended or the dispatcher has lost the request. */
    private void connectionBroken(RunVerifier.Request r, DispatcherProcess d, int generation) {
        vertx.setTimer(
                20,
                t -> verifier.recordOutcome(
                        clock.getAsLong(),
                        r,
                        d.alive() && d.generation() == generation
                                ? RunVerifier.ClientOutcome.NO_ANSWER
                                : RunVerifier.ClientOutcome.DIED_WITH_IT));
    }
}
