import java.nio.file.Path;

/** Runs a case against a small fleet and reports the result by the exit code. */
abstract class Case {
  private static final int HELD = 0;
  private static final int BROKEN = 1;
  private static final int NOT_RUN = 2;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Fleet fleet;
  final Record record;

  Case() throws Exception {
    fleet = new Fleet();
    record = fleet.record;
  }

  /** Plays the case; returns whether the rule held. */
  abstract boolean play() throws Exception;

  /** Plays the case, writes the record to the file that the first argument names, and exits. */
  final void run(String[] arguments) {
    Thread cleanUp = new Thread(fleet::endProcesses);
    Runtime.getRuntime().addShutdownHook(cleanUp);
    int code = NOT_RUN;
    try {
      code = play() ? HELD : BROKEN;
      record.note(code == HELD ? "the rule held" : "the rule was broken");
      record.print();
    } catch (Exception | AssertionError e) {
      record.note("the case couldn't run: " + e);
      e.printStackTrace();
    }
    try {
      record.write(Path.of(arguments[0]));
      fleet.close();
    } catch (Exception e) {
      e.printStackTrace();
      code = NOT_RUN;
    }
    System.exit(code);
  }
}
