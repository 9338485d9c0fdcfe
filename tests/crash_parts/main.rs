//! Which requests and parts of prompts are blamed for the ends of endpoints, and which are not.

mod fleet;
mod later;
mod parts;
mod requests;
