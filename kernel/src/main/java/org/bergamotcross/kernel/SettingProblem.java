package org.bergamotcross.kernel;

/**
 * One thing that is wrong in a settings file.
 *
 * @param file the file
 * @param section the section
 * @param key the key, empty when the whole section is meant
 * @param found what the file has
 * @param expected what would be right
 */
public record SettingProblem(
    String file, String section, String key, String found, String expected) {

  @Override
  public String toString() {
    String place = key.isEmpty() ? "[" + section + "]" : "[" + section + "] " + key;
    return file + ": " + place + ": found " + found + "; expected " + expected;
  }
}
