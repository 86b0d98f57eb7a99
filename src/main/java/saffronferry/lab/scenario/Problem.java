package saffronferry.lab.scenario;

/** What is wrong at one place of a file; line and column count from 1, and 0 stands for the whole file. */
public record Problem(String file, int line, int column, String key, String text) {
    @Override
    public String toString() {
        String where = line > 0 ? file + ":" + line + ":" + column : file;
        return where + ": " + (key.isEmpty() ? "" : key + ": ") + text;
    }
}
