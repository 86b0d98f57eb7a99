package saffronferry.lab.explore;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** The shares as built hold their bounds in every short story; each wrong way to use them is caught. */
class ExplorerTest {
    @ParameterizedTest
    @EnumSource
    void partsAreUsedByOne(SharesModel.Variant variant) {
        check(Explorer.explore(new SharesModel(variant, 2), 8, 1_000_000), variant == SharesModel.Variant.AS_BUILT);
    }

    @ParameterizedTest
    @EnumSource
    void whatIsLentIsSpentOnce(EscrowModel.Variant variant) {
        check(Explorer.explore(new EscrowModel(variant), 9, 1_000_000), variant == EscrowModel.Variant.AS_BUILT);
    }

    private static void check(Explorer.Result seen, boolean holds) {
        assertEquals(holds, seen.violation() == null, seen.toString());
        assertTrue(seen.complete() && seen.states() > 300, seen.toString());
        assertEquals(holds, seen.trace().isEmpty());
    }
}
