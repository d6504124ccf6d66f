package org.bergamotcross.entry;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.bergamotcross.kernel.Plugin;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Guards against dependencies that require a change to the kernel or to a plug-in when another
 * plug-in is added, and against threads that spin.
 */
class PluginIsolationTest {
  private static final JavaClasses CLASSES =
      new ClassFileImporter()
          .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
          .importPackages("org.bergamotcross");

  @Nested
  class Kernel {
    @Test
    void importsNoPlugin() {
      noClasses()
          .that()
          .resideInAPackage("org.bergamotcross.kernel..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("org.bergamotcross.core..", "org.bergamotcross.entry..")
          .check(CLASSES);
    }
  }

  @Nested
  class Plugins {
    @Test
    void areReferencedByNoOtherClass() {
      classes()
          .that()
          .areAssignableTo(Plugin.class)
          .and()
          .areNotInterfaces()
          .should()
          .onlyHaveDependentClassesThat()
          .areAssignableTo(Plugin.class)
          .allowEmptyShould(true)
          .check(CLASSES);
    }
  }

  @Nested
  class Threads {
    @Test
    void neverSpin() {
      noClasses().should().callMethod(Thread.class, "onSpinWait").check(CLASSES);
    }
  }
}
