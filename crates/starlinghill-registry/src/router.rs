//! Routes of the HTTP API, as a tree: each path segment is a fixed word or a wildcard, and a node holds the methods
//! that are allowed at its path.

use hyper::Method;

/// An operation of the API.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// A backend's heartbeat.
    Heartbeat,
    /// A backend deregisters.
    Leave,
    /// The operator changes configuration items.
    Change,
    /// The operator reads all configuration items.
    Read,
}

/// A node of the routing tree.
#[derive(Debug, Default)]
pub struct RouteNode {
    literals: Vec<(&'static str, RouteNode)>,
    wildcard: Option<Box<RouteNode>>,
    methods: Vec<(Method, Endpoint)>,
}

/// The result of a lookup.
#[derive(Debug, PartialEq, Eq)]
pub enum RouteMatch<'a> {
    /// The operation, and the path segments that matched wildcards.
    Endpoint(Endpoint, Vec<&'a str>),
    /// The path exists, but not with this method.
    MethodNotAllowed,
    /// The path does not exist.
    NotFound,
}

impl RouteNode {
    fn node_mut(&mut self, path: &'static str) -> &mut RouteNode {
        let mut node = self;
        for segment in path.split('/').filter(|segment| !segment.is_empty()) {
            if segment == "*" {
                node = node.wildcard.get_or_insert_default();
                continue;
            }
            let existing = node.literals.iter().position(|(literal, _)| *literal == segment);
            let i = existing.unwrap_or_else(|| {
                node.literals.push((segment, RouteNode::default()));
                node.literals.len() - 1
            });
            node = &mut node.literals[i].1;
        }
        node
    }

    /// The tree with all routes of the API.
    pub fn api_routes() -> RouteNode {
        let mut tree = RouteNode::default();
        tree.node_mut("/api/backends/*").methods =
            vec![(Method::PUT, Endpoint::Heartbeat), (Method::DELETE, Endpoint::Leave)];
        tree.node_mut("/api/config").methods =
            vec![(Method::PATCH, Endpoint::Change), (Method::GET, Endpoint::Read)];
        tree
    }

    /// Looks up a method and a path.
    pub fn lookup<'a>(&self, method: &Method, path: &'a str) -> RouteMatch<'a> {
        let (mut node, mut params) = (self, Vec::new());
        for segment in path.split('/').skip(1) {
            node = match node.literals.iter().find(|(literal, _)| *literal == segment) {
                Some((_, next)) => next,
                None => match &node.wildcard {
                    Some(next) if !segment.is_empty() => {
                        params.push(segment);
                        next
                    }
                    _ => return RouteMatch::NotFound,
                },
            };
        }
        match node.methods.iter().find(|(known, _)| known == method) {
            Some((_, call)) => RouteMatch::Endpoint(*call, params),
            None if node.methods.is_empty() => RouteMatch::NotFound,
            None => RouteMatch::MethodNotAllowed,
        }
    }
}
