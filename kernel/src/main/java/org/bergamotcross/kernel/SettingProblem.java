package org.bergamotcross.kernel;

/**
 * Describes one error in a settings file.
 *
 * @param file the file
 * @param section the section
 * @param key the key, empty if the problem concerns the whole section
 * @param found the content of the file at this place
 * @param expected the expected content
 */
public record SettingProblem(
    String file, String section, String key, String found, String expected) {

  @Override
  public String toString() {
    String place = key.isEmpty() ? "[" + section + "]" : "[" + section + "] " + key;
    return file + ": " + place + ": found " + found + "; expected " + expected;
  }
}
