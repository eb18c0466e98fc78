#![allow(unused)]
