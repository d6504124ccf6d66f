package org.bergamotcross.deploy;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Collections;
import java.util.zip.ZipEntry;
import java.util.zip.ZipFile;
import java.util.zip.ZipOutputStream;

/**
 * Rewrites the serializable lambdas in jar files; the deploy build runs it on its libraries.
 *
 * <pre>{@code
 * java -cp ... org.bergamotcross.deploy.RewriteLambdas target/lib/scala-library.jar ...
 * }</pre>
 */
public final class RewriteLambdas {
  private static final int EXIT_INVALID_USAGE = 2;
  private static final int EXIT_FAILURE = 1;

  private RewriteLambdas() {}

  /**
   * Rewrites jar files in place.
   *
   * @param jars the paths of the jar files
   */
  public static void main(String[] jars) {
    if (jars.length == 0) {
      System.err.println("no jar file given; usage: RewriteLambdas JAR...");
      System.exit(EXIT_INVALID_USAGE);
    }
    int rewrittenLambdas = 0;
    for (String jar : jars) {
      try {
        rewrittenLambdas += rewriteJar(Path.of(jar));
      } catch (IOException e) {
        System.err.println(jar + ": rewrite failed: " + e.getMessage());
        System.exit(EXIT_FAILURE);
      }
    }
    System.out.println("rewrote " + rewrittenLambdas + " lambdas in " + jars.length + " jar files");
  }

  /** Rewrites a jar file in place and returns the number of rewritten lambdas. */
  static int rewriteJar(Path jar) throws IOException {
    Path rewritten = jar.resolveSibling(jar.getFileName() + ".rewritten");
    int rewrittenLambdas = 0;
    try (ZipFile input = new ZipFile(jar.toFile());
        OutputStream outputFile = Files.newOutputStream(rewritten);
        ZipOutputStream output = new ZipOutputStream(outputFile)) {
      for (ZipEntry entry : Collections.list(input.entries())) {
        output.putNextEntry(new ZipEntry(entry.getName()));
        try (InputStream content = input.getInputStream(entry)) {
          if (isRewritableClass(entry.getName())) {
            LambdaRewriter.RewriteResult result = LambdaRewriter.rewrite(content.readAllBytes());
            rewrittenLambdas += result.rewrittenLambdas();
            output.write(result.classFile());
          } else {
            content.transferTo(output);
          }
        }
        output.closeEntry();
      }
    }
    Files.move(rewritten, jar, StandardCopyOption.REPLACE_EXISTING);
    return rewrittenLambdas;
  }

  /**
   * Excludes the version-specific classes of multi-release jars under META-INF, which the Scala
   * compiler doesn't produce.
   */
  private static boolean isRewritableClass(String name) {
    return name.endsWith(".class") && !name.startsWith("META-INF/");
  }
}
