// Package router serves the callers' API and passes urgent requests to executors.
package router
