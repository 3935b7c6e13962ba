// Package main is the skctl program of shallotkeel.
package main

func main() {}
