package org.cicadahead.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.JavaCall;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Checks package dependencies against section 3 of the design. */
class LayeringTest {
    private static final JavaClasses CLASSES = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.cicadahead");
    private static final String[] PURE_PACKAGES = {
        "org.cicadahead.raft..",
        "org.cicadahead.state..",
        "org.cicadahead.grants..",
        "org.cicadahead.routing..",
        "org.cicadahead.admission..",
        "org.cicadahead.queue..",
        "org.cicadahead.cache..",
        "org.cicadahead.crash.."
    };
    private static final Set<String> CLOCK_METHODS =
            Set.of("java.lang.System.currentTimeMillis", "java.lang.System.nanoTime", "java.lang.Thread.sleep");

    /** Guards against decision logic whose result depends on files, sockets, threads or other processes. */
    @Test
    void purePackagesUseNoIoAndNoThreads() {
        noClasses()
                .that()
                .resideInAnyPackage(PURE_PACKAGES)
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.io..",
                        "java.nio.file..",
                        "java.nio.channels..",
                        "java.net..",
                        "java.util.concurrent..",
                        "org.eclipse.jetty..",
                        "org.jboss.logging..",
                        "com.codahale..",
                        "org.cicadahead.wire..",
                        "org.cicadahead.node..")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.util.Timer")
                .allowEmptyShould(true)
                .check(CLASSES);
    }

    /** Guards against decision logic that reads a clock, which makes seeded runs impossible to reproduce. */
    @Test
    void purePackagesReadNoClock() {
        noClasses()
                .that()
                .resideInAnyPackage(PURE_PACKAGES)
                .should()
                .callMethodWhere(new DescribedPredicate<JavaCall<?>>("the call reads a clock") {
                    @Override
                    public boolean test(JavaCall<?> call) {
                        String owner = call.getTargetOwner().getFullName();
                        return CLOCK_METHODS.contains(owner + "." + call.getName())
                                || owner.startsWith("java.time.")
                                        && call.getName().equals("now");
                    }
                })
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.time.Clock")
                .allowEmptyShould(true)
                .check(CLASSES);
    }

    /** Guards against cycles between modules and against dependencies that the layering forbids. */
    @Test
    void packagesFollowDependencyOrder() {
        layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .withOptionalLayers(true)
                .layer("core")
                .definedBy(
                        "org.cicadahead.model..",
                        "org.cicadahead.protocol..",
                        "org.cicadahead.wire..",
                        "org.cicadahead.node..")
                .layer("raft")
                .definedBy("org.cicadahead.raft..", "org.cicadahead.storage..", "org.cicadahead.replication..")
                .layer("control")
                .definedBy(
                        "org.cicadahead.control..",
                        "org.cicadahead.state..",
                        "org.cicadahead.grants..",
                        "org.cicadahead.operator..")
                .layer("entry")
                .definedBy(
                        "org.cicadahead.entry..",
                        "org.cicadahead.routing..",
                        "org.cicadahead.admission..",
                        "org.cicadahead.caller..")
                .layer("endpoint")
                .definedBy(
                        "org.cicadahead.endpoint..",
                        "org.cicadahead.queue..",
                        "org.cicadahead.cache..",
                        "org.cicadahead.crash..",
                        "org.cicadahead.engine..",
                        "org.cicadahead.service..")
                .layer("daemon")
                .definedBy("org.cicadahead.daemon..")
                .whereLayer("daemon")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("control")
                .mayOnlyBeAccessedByLayers("daemon")
                .whereLayer("entry")
                .mayOnlyBeAccessedByLayers("daemon")
                .whereLayer("endpoint")
                .mayOnlyBeAccessedByLayers("daemon")
                .whereLayer("raft")
                .mayOnlyBeAccessedByLayers("control", "daemon")
                .whereLayer("core")
                .mayOnlyBeAccessedByLayers("raft", "control", "entry", "endpoint", "daemon")
                .check(CLASSES);
    }

    /** Guards against messages that depend on the transport and value types that depend on messages. */
    @Test
    void coreIsLayered() {
        noClasses()
                .that()
                .resideInAPackage("org.cicadahead.model..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.cicadahead.protocol..", "org.cicadahead.wire..", "org.cicadahead.node..")
                .check(CLASSES);
        noClasses()
                .that()
                .resideInAPackage("org.cicadahead.protocol..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.cicadahead.wire..", "org.cicadahead.node..")
                .check(CLASSES);
    }
}
