package saffronferry.lab.scenario;

/** A problem in a scenario file. Line and column count from 1; 0 refers to the whole file. */
public record Problem(String file, int line, int column, String key, String text) {
    @Override
    public String toString() {
        String where = line > 0 ? file + ":" + line + ":" + column : file;
        return where + ": " + (key.isEmpty() ? "" : key + ": ") + text;
    }
}
