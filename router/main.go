// Package main is the router program of shallotkeel.
package main

func main() {}
