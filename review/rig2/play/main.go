// Command play plays one case of the rig, also those that the report tells of beside
// the five: play CASE RECORD, from the root of the repository.
package main

import (
	"fmt"
	"os"

	"kiteslip/review/rig2"
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: play CASE RECORD")
		os.Exit(2)
	}
	os.Exit(rig2.Main(os.Args[1], os.Args[2]))
}
