// Package main is the keeper program of shallotkeel.
package main

func main() {}
