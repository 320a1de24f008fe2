// Package loader decodes INI files into typed values. Every error names file, line,
// section and key.
//
// A Decoder reads all files in NewDecoder. The caller then reads each section with
// Section or Sections, and each value with Get or Require, which state its parser,
// default and checks. At the end Err returns all errors together, so that a user sees
// them at once. There is no schema: sections and keys that the caller has not read before
// Err are reported as unknown.
//
// A file is a list of sections. A section is [kind] or, for repeated ones,
// [kind "name"]. A key is one lower-case word, and its value is the rest of the
// line. Comments are on lines of their own and begin with # or ;. A duplicate section
// or key is an error.
package loader
