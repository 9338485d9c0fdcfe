//! Which requests and parts of prompts are blamed for the ends of endpoints, and which are not.

mod fleet;
mod parts;
mod requests;
