// Package loader decodes INI files into typed values. Defaults and checks stand
// where a value is read; every error names file, line, section and key, and all
// errors of a load are collected.
//
// A file is a list of sections. A section is [kind] or, for repeated ones,
// [kind "name"]. A key is one lower-case word, and its value is the rest of the
// line. Comments stand on lines of their own and begin with # or ;. A section or
// key that stands twice, or that nothing reads, is an error.
package loader
