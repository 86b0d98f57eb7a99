package saffronferry.lab.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The protocols as implemented keep their bounds in every short trace; each faulty variant violates one. */
class ExplorerTest {
    @ParameterizedTest
    @EnumSource
    void onlyTheImplementedShareProtocolKeepsItsBounds(SharesModel.Variant variant) {
        check(Explorer.explore(new SharesModel(variant, 2), 8, 1_000_000), variant == SharesModel.Variant.AS_BUILT);
    }

    @ParameterizedTest
    @EnumSource
    void onlyTheImplementedEscrowProtocolKeepsItsBound(EscrowModel.Variant variant) {
        check(Explorer.explore(new EscrowModel(variant), 9, 1_000_000), variant == EscrowModel.Variant.AS_BUILT);
    }

    private static void check(Explorer.Result result, boolean holds) {
        assertEquals(holds, result.violation() == null, result.toString());
        assertTrue(result.complete() && result.states() > 300, result.toString());
        assertEquals(holds, result.trace().isEmpty());
    }
}
