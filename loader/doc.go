// Package loader decodes INI files into typed values. Defaults and checks are given
// where a value is read. Every error names file, line, section and key, and all
// errors of a load are collected.
//
// A file is a list of sections. A section is [kind] or, for repeated ones,
// [kind "name"]. A key is one lower-case word, and its value is the rest of the
// line. Comments are on lines of their own and begin with # or ;. A duplicate section
// or key, or one that nothing reads, is an error.
package loader
