//! Tickets for callers: `POST /v1/tickets?service=NAME&count=N`.

use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, HeaderValue};
use hyper::{Method, Request, Response, StatusCode};
use sedgepath_core::deduplication::tickets::{MintError, TICKET_VALIDITY_MS};
use sedgepath_core::request::Ticket;
use sedgepath_wire::ticket;
use serde_json::json;

use super::Callers;
use super::answers::{ResponseBody, json_response, refused};
use super::reading::query_value;

impl Callers {
    /// Answers a caller who asks for tickets.
    ///
    /// No answer may be kept by a cache: a ticket handed out twice would make the second action look
    /// like a repeat of the first, and it would never run.
    pub(super) async fn tickets(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        let mut response = self.mint(request).await;
        response.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
        response
    }

    async fn mint(&self, request: &Request<Incoming>) -> Response<ResponseBody> {
        if request.method() != Method::POST {
            return refused(StatusCode::METHOD_NOT_ALLOWED, "method_not_allowed");
        }
        let query = request.uri().query();
        let Some(service) = query_value(query, "service") else {
            return refused(StatusCode::BAD_REQUEST, "service_missing");
        };
        let count = query_value(query, "count").map_or(Some(1), |count| count.parse().ok());
        match self.handle.mint(service, count.unwrap_or(0)).await {
            Some(Ok(tickets)) => self.minted(&tickets),
            Some(Err(error)) => refused(status(error), error.name()),
            None => refused(StatusCode::SERVICE_UNAVAILABLE, MintError::Stopping.name()),
        }
    }

    fn minted(&self, tickets: &[Ticket]) -> Response<ResponseBody> {
        let texts: Vec<_> =
            tickets.iter().map(|ticket| ticket::format(&self.ticket_key, ticket)).collect();
        let body = json!({
            "tickets": texts,
            "expires_at_ms": tickets.first().map(|ticket| ticket.expires_at_ms),
            "expires_after_ms": TICKET_VALIDITY_MS,
        });
        json_response(StatusCode::OK, &body)
    }
}

fn status(error: MintError) -> StatusCode {
    match error {
        MintError::NoService => StatusCode::NOT_FOUND,
        MintError::CountOutOfRange => StatusCode::BAD_REQUEST,
        MintError::TooManyValidTickets | MintError::Stopping => StatusCode::SERVICE_UNAVAILABLE,
    }
}
