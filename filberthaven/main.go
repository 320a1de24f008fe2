// Command filberthaven is a cluster scheduler for mixed workloads.
package main

import (
	"os"

	"filberthaven.example/commands"
)

func main() { os.Exit(commands.Run(os.Args[1:])) }
