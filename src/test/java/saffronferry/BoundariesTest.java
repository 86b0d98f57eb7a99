package saffronferry;

import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideOutsideOfPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

/** Allowed dependencies between packages: decisions use no sockets or clocks, and serving loads no simulator code. */
class BoundariesTest {
    private static final JavaClasses ALL = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("saffronferry");

    @Test
    void decisionPackagesDoNoInputOrOutputAndReadNoClock() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "saffronferry",
                        "saffronferry.fleet",
                        "saffronferry.limit",
                        "saffronferry.ops",
                        "saffronferry.agree",
                        "saffronferry.lab.check",
                        "saffronferry.lab.policy")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io..", "java.net..", "java.nio..", "java.io..", "java.util.concurrent..", "java.time..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAnyPackage(
                        "saffronferry",
                        "saffronferry.fleet",
                        "saffronferry.limit",
                        "saffronferry.ops",
                        "saffronferry.agree",
                        "saffronferry.lab.check",
                        "saffronferry.lab.policy")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(ALL);
    }

    @Test
    void stateUsesNoSocketsAndTheDecisionsUseNoOtherPackages() {
        noClasses()
                .that()
                .resideInAPackage("saffronferry.state")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io..", "saffronferry.wire..", "saffronferry.lifecycle..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("saffronferry")
                .should()
                .dependOnClassesThat(
                        resideInAPackage("saffronferry.*..").and(resideOutsideOfPackage("saffronferry.fleet")))
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("saffronferry.fleet")
                .should()
                .dependOnClassesThat(
                        resideInAPackage("saffronferry..").and(resideOutsideOfPackage("saffronferry.fleet")))
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("saffronferry.agree")
                .should()
                .dependOnClassesThat(
                        resideInAPackage("saffronferry..").and(resideOutsideOfPackage("saffronferry.agree")))
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("saffronferry.adapter")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("saffronferry.lifecycle..", "saffronferry.wire..")
                .check(ALL);
    }

    @Test
    void operatorCallsAreDecidedWithoutSocketsAndTheConsoleServerDecidesNothing() {
        noClasses()
                .that()
                .resideInAPackage("saffronferry.ops")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "saffronferry",
                        "saffronferry.state..",
                        "saffronferry.limit..",
                        "saffronferry.wire..",
                        "saffronferry.lifecycle..")
                .check(ALL);
        noClasses()
                .that()
                .haveSimpleNameStartingWith("ConsoleServer")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("saffronferry.ops..", "saffronferry.state..", "saffronferry.lifecycle..")
                .check(ALL);
    }

    /**
     * The rig checks the program from outside: it uses scenarios, the rule checker and the types of the facade only.
     */
    @Test
    void theRigDoesNotUseTheDispatchersCode() {
        noClasses()
                .that()
                .resideInAPackage("saffronferry.rig")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "saffronferry.lifecycle..",
                        "saffronferry.wire..",
                        "saffronferry.state..",
                        "saffronferry.fleet..",
                        "saffronferry.limit..",
                        "saffronferry.ops..")
                .check(ALL);
        noClasses()
                .that()
                .haveSimpleNameStartingWith("WorkerModel")
                .or()
                .haveSimpleNameStartingWith("PeerLinks")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("io..", "java.io..", "java.net..", "java.time..")
                .check(ALL);
    }

    /** A forecast is computed from given values; reading the file is the command's part. */
    @Test
    void fitsAreComputedWithoutInputOrOutputOrOtherPackages() {
        noClasses()
                .that()
                .resideInAPackage("saffronferry.scale.fit")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io..", "java.net..", "java.nio..", "java.io..", "java.util.concurrent..", "java.time..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("saffronferry.scale.fit")
                .should()
                .dependOnClassesThat(
                        resideInAPackage("saffronferry..").and(resideOutsideOfPackage("saffronferry.scale.fit")))
                .check(ALL);
    }

    /** The scale test's dispatchers run the real decisions and the real list parser, without sockets. */
    @Test
    void scaleTestsUseNoSocketsAndOnlyTheCommandLineUsesThem() {
        noClasses()
                .that()
                .resideInAPackage("saffronferry.scale")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "io..",
                        "java.net..",
                        "saffronferry.lifecycle..",
                        "saffronferry.rig..",
                        "saffronferry.cli..",
                        "saffronferry.limit..",
                        "saffronferry.ops..")
                .check(ALL);
        noClasses()
                .that()
                .resideInAPackage("saffronferry.lab..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("saffronferry.scale..")
                .check(ALL);
    }

    @Test
    void servingDependsOnNoSimulatorOrTestCode() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "saffronferry",
                        "saffronferry.limit",
                        "saffronferry.ops",
                        "saffronferry.agree",
                        "saffronferry.log",
                        "saffronferry.settings",
                        "saffronferry.state",
                        "saffronferry.wire",
                        "saffronferry.lifecycle",
                        "saffronferry.adapter")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "saffronferry.lab..",
                        "saffronferry.scale..",
                        "saffronferry.rig..",
                        "saffronferry.cli..",
                        "picocli..",
                        "org.tomlj..",
                        "org.HdrHistogram..",
                        "org.apache.commons..")
                .check(ALL);
    }
}
