package io.radishwinch.server.http;

import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.concurrent.atomic.AtomicBoolean;

/** Requests of callers to whom a part of the response cannot be sent because of a fault of the router. */
final class FailingResponse {
    private FailingResponse() {}

    /** Returns the request with a response of which the first call of a method throws an exception. */
    static HttpServerRequest of(HttpServerRequest request, String failingMethod) {
        AtomicBoolean hasFailed = new AtomicBoolean();
        HttpServerResponse response = proxy(HttpServerResponse.class, request.response(), (self, method, arguments) -> {
            if (method.getName().equals(failingMethod) && hasFailed.compareAndSet(false, true)) {
                throw new IllegalStateException("no " + failingMethod);
            }
            Object result = invoke(request.response(), method, arguments);
            return result == request.response() ? self : result;
        });
        return proxy(
                HttpServerRequest.class,
                request,
                (self, method, arguments) ->
                        method.getName().equals("response") ? response : invoke(request, method, arguments));
    }

    private static Object invoke(Object target, Method method, Object[] arguments) throws Throwable {
        try {
            return method.invoke(target, arguments);
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }

    private static <T> T proxy(Class<T> type, T target, InvocationHandler handler) {
        return type.cast(Proxy.newProxyInstance(target.getClass().getClassLoader(), new Class<?>[] {type}, handler));
    }
}
