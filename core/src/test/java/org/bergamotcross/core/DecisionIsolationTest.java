package org.bergamotcross.core;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.type;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.bergamotcross.kernel.ClockReading;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against decision code that reads a clock, starts a thread, or depends on an encoding or a
 * transport.
 */
class DecisionIsolationTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.bergamotcross.core");

  @Nested
  class Libraries {
    @Test
    void decisionsUseNeitherPekkoNorCodecs() {
      noClasses()
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "org.apache.pekko..",
              "com.fasterxml..",
              "org.msgpack..",
              "com.google.common.flogger..")
          .check(CLASSES);
    }

    @Test
    void decisionsUseOnlyNowFromTheKernel() {
      noClasses()
          .should()
          .dependOnClassesThat(
              resideInAPackage("org.bergamotcross.kernel..").and(not(type(ClockReading.class))))
          .check(CLASSES);
    }
  }

  @Nested
  class Clocks {
    @Test
    void decisionsReadNoClock() {
      noClasses()
          .should()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.time.Clock")
          .orShould()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .callMethod(java.time.Instant.class, "now")
          .check(CLASSES);
    }

    @Test
    void decisionsStartNoThread() {
      noClasses().should().dependOnClassesThat().areAssignableTo(Thread.class).check(CLASSES);
    }
  }
}
