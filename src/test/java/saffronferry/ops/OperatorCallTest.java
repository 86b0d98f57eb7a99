package saffronferry.ops;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import saffronferry.ops.OperatorCall.Kind;

class OperatorCallTest {
    @ParameterizedTest
    @CsvSource({
        "GET, /ops/readiness, READINESS,",
        "GET, /ops/stats, STATS,",
        "PUT, /ops/workers/down/s-0badcafe, WORKER_DOWN, s-0badcafe",
        "PUT, /ops/workers/up/s-0badcafe, WORKER_UP, s-0badcafe",
        "PUT, /ops/workers/down/a/b c, WORKER_DOWN, a/b c",
        "PUT, /ops/drain/start, DRAIN_START,",
        "PUT, /ops/drain/stop, DRAIN_STOP,",
        "PUT, /ops/stats, WRONG_METHOD,",
        "PUT, /ops/readiness, WRONG_METHOD,",
        "GET, /ops/drain/start, WRONG_METHOD,",
        "POST, /ops/drain/stop, WRONG_METHOD,",
        "put, /ops/drain/stop, WRONG_METHOD,",
        "DELETE, /ops/workers/down/a, WRONG_METHOD,",
        "PUT, /ops/workers/down/, UNKNOWN,",
        "PUT, /ops/workers/a, UNKNOWN,",
        "GET, /ops/stats/, UNKNOWN,",
        "GET, /, UNKNOWN,",
        "GET, '', UNKNOWN,"
    })
    void readsMethodAndPath(String method, String path, Kind kind, String worker) {
        assertEquals(new OperatorCall(kind, worker), OperatorCall.parse(method, path));
    }
}
