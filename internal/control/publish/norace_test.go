//go:build !race

package publish

const raced = false
