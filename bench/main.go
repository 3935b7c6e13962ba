// Package main is the bench program of shallotkeel.
package main

func main() {}
