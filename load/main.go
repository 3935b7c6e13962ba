// Package main is the load program of shallotkeel.
package main

func main() {}
