package org.bergamotcross.deploy;

import java.util.Set;
import org.objectweb.asm.ClassReader;
import org.objectweb.asm.ClassVisitor;
import org.objectweb.asm.ClassWriter;
import org.objectweb.asm.Handle;
import org.objectweb.asm.MethodVisitor;
import org.objectweb.asm.Opcodes;
import org.objectweb.asm.Type;

/**
 * Rewrites the serializable lambdas of a class to non-serializable ones.
 *
 * <p>The class data sharing (CDS) archive of the JVM stores only non-serializable lambdas. Scala
 * compiles each function literal to a serializable one, so without the rewriting Pekko's 600
 * lambdas are linked again at each start, which takes a quarter of the processor time of the start.
 * An instance never serializes a function.
 */
final class LambdaRewriter {
  private static final int ASM_API = Opcodes.ASM9;
  private static final String METAFACTORY_OWNER = "java/lang/invoke/LambdaMetafactory";
  private static final String METAFACTORY_METHOD = "metafactory";
  private static final String ALT_METAFACTORY_METHOD = "altMetafactory";
  private static final String METAFACTORY_DESCRIPTOR =
      "(Ljava/lang/invoke/MethodHandles$Lookup;Ljava/lang/String;Ljava/lang/invoke/MethodType;"
          + "Ljava/lang/invoke/MethodType;Ljava/lang/invoke/MethodHandle;"
          + "Ljava/lang/invoke/MethodType;)Ljava/lang/invoke/CallSite;";
  private static final Handle METAFACTORY =
      new Handle(
          Opcodes.H_INVOKESTATIC,
          METAFACTORY_OWNER,
          METAFACTORY_METHOD,
          METAFACTORY_DESCRIPTOR,
          false);

  // The values of LambdaMetafactory.FLAG_SERIALIZABLE and FLAG_BRIDGES.
  private static final int FLAG_SERIALIZABLE = 1;
  private static final int FLAG_BRIDGES = 4;

  /**
   * The number of leading arguments that both metafactories share: the type of the interface
   * method, the implementation, and the type enforced at invocation.
   */
  private static final int COMMON_ARGUMENT_COUNT = 3;

  /**
   * The name prefixes of functional interfaces whose method is called only through its erased
   * signature, so that a lambda needs no bridge method with a more specific one.
   */
  private static final Set<String> ERASED_INTERFACE_PREFIXES =
      Set.of("scala/Function", "scala/runtime/java8/JFunction");

  private LambdaRewriter() {}

  /**
   * The result of rewriting a class.
   *
   * @param classFile the content of the class file
   * @param rewrittenLambdas the number of rewritten lambdas
   */
  // The array is written to a file and never compared.
  @SuppressWarnings("ArrayRecordComponent")
  record RewriteResult(byte[] classFile, int rewrittenLambdas) {}

  /**
   * Rewrites the serializable lambdas of a class.
   *
   * @param classFile the content of the class file
   * @return the result, with the same array if the class has no such lambda
   */
  static RewriteResult rewrite(byte[] classFile) {
    ClassReader reader = new ClassReader(classFile);
    ClassWriter writer = new ClassWriter(reader, 0);
    MetafactoryVisitor visitor = new MetafactoryVisitor(writer);
    reader.accept(visitor, 0);
    return visitor.rewrittenLambdas == 0
        ? new RewriteResult(classFile, 0)
        : new RewriteResult(writer.toByteArray(), visitor.rewrittenLambdas);
  }

  private static final class MetafactoryVisitor extends ClassVisitor {
    private int rewrittenLambdas;

    MetafactoryVisitor(ClassVisitor next) {
      super(ASM_API, next);
    }

    @Override
    public MethodVisitor visitMethod(
        int access, String name, String descriptor, String signature, String[] exceptions) {
      MethodVisitor next = super.visitMethod(access, name, descriptor, signature, exceptions);
      return new MethodVisitor(ASM_API, next) {
        @Override
        public void visitInvokeDynamicInsn(
            String method, String type, Handle bootstrap, Object... arguments) {
          if (isRewritable(type, bootstrap, arguments)) {
            rewrittenLambdas++;
            super.visitInvokeDynamicInsn(
                method, type, METAFACTORY, arguments[0], arguments[1], arguments[2]);
          } else {
            super.visitInvokeDynamicInsn(method, type, bootstrap, arguments);
          }
        }
      };
    }
  }

  private static boolean isRewritable(String type, Handle bootstrap, Object[] arguments) {
    boolean isExtended =
        bootstrap.getOwner().equals(METAFACTORY_OWNER)
            && bootstrap.getName().equals(ALT_METAFACTORY_METHOD)
            && arguments.length > COMMON_ARGUMENT_COUNT;
    if (!isExtended || !(arguments[COMMON_ARGUMENT_COUNT] instanceof Integer flags)) {
      return false;
    }
    return flags == FLAG_SERIALIZABLE
        || (flags == (FLAG_SERIALIZABLE | FLAG_BRIDGES)
            && (bridgeCount(arguments) == 0 || implementsErasedInterface(type)));
  }

  /** Returns the bridge count, which follows the flags unless FLAG_MARKERS is set. */
  private static int bridgeCount(Object[] arguments) {
    return (Integer) arguments[COMMON_ARGUMENT_COUNT + 1];
  }

  private static boolean implementsErasedInterface(String type) {
    String interfaceName = Type.getReturnType(type).getInternalName();
    return ERASED_INTERFACE_PREFIXES.stream().anyMatch(interfaceName::startsWith);
  }
}
