//go:build race

package publish

// raced says that the race detector is on: all costs some ten times as much.
const raced = true
