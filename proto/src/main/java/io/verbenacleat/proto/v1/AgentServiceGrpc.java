package io.verbenacleat.proto.v1;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by every agent. Callers are gateways (Execute, ResolveOrder), entries that close a
 * lost process (CloseProcess) and entries that watch load (GetStatus).
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class AgentServiceGrpc {

  private AgentServiceGrpc() {}

  public static final java.lang.String SERVICE_NAME = "verbena.v1.AgentService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ExecuteRequest,
      io.verbenacleat.proto.v1.ExecuteEvent> getExecuteMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Execute",
      requestType = io.verbenacleat.proto.v1.ExecuteRequest.class,
      responseType = io.verbenacleat.proto.v1.ExecuteEvent.class,
      methodType = io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
  public static io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ExecuteRequest,
      io.verbenacleat.proto.v1.ExecuteEvent> getExecuteMethod() {
    io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ExecuteRequest, io.verbenacleat.proto.v1.ExecuteEvent> getExecuteMethod;
    if ((getExecuteMethod = AgentServiceGrpc.getExecuteMethod) == null) {
      synchronized (AgentServiceGrpc.class) {
        if ((getExecuteMethod = AgentServiceGrpc.getExecuteMethod) == null) {
          AgentServiceGrpc.getExecuteMethod = getExecuteMethod =
              io.grpc.MethodDescriptor.<io.verbenacleat.proto.v1.ExecuteRequest, io.verbenacleat.proto.v1.ExecuteEvent>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.SERVER_STREAMING)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Execute"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.ExecuteRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.ExecuteEvent.getDefaultInstance()))
              .setSchemaDescriptor(new AgentServiceMethodDescriptorSupplier("Execute"))
              .build();
        }
      }
    }
    return getExecuteMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ResolveOrderRequest,
      io.verbenacleat.proto.v1.ResolveOrderResponse> getResolveOrderMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ResolveOrder",
      requestType = io.verbenacleat.proto.v1.ResolveOrderRequest.class,
      responseType = io.verbenacleat.proto.v1.ResolveOrderResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ResolveOrderRequest,
      io.verbenacleat.proto.v1.ResolveOrderResponse> getResolveOrderMethod() {
    io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.ResolveOrderRequest, io.verbenacleat.proto.v1.ResolveOrderResponse> getResolveOrderMethod;
    if ((getResolveOrderMethod = AgentServiceGrpc.getResolveOrderMethod) == null) {
      synchronized (AgentServiceGrpc.class) {
        if ((getResolveOrderMethod = AgentServiceGrpc.getResolveOrderMethod) == null) {
          AgentServiceGrpc.getResolveOrderMethod = getResolveOrderMethod =
              io.grpc.MethodDescriptor.<io.verbenacleat.proto.v1.ResolveOrderRequest, io.verbenacleat.proto.v1.ResolveOrderResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ResolveOrder"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.ResolveOrderRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.ResolveOrderResponse.getDefaultInstance()))
              .setSchemaDescriptor(new AgentServiceMethodDescriptorSupplier("ResolveOrder"))
              .build();
        }
      }
    }
    return getResolveOrderMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.CloseProcessRequest,
      io.verbenacleat.proto.v1.CloseProcessResponse> getCloseProcessMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "CloseProcess",
      requestType = io.verbenacleat.proto.v1.CloseProcessRequest.class,
      responseType = io.verbenacleat.proto.v1.CloseProcessResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.CloseProcessRequest,
      io.verbenacleat.proto.v1.CloseProcessResponse> getCloseProcessMethod() {
    io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.CloseProcessRequest, io.verbenacleat.proto.v1.CloseProcessResponse> getCloseProcessMethod;
    if ((getCloseProcessMethod = AgentServiceGrpc.getCloseProcessMethod) == null) {
      synchronized (AgentServiceGrpc.class) {
        if ((getCloseProcessMethod = AgentServiceGrpc.getCloseProcessMethod) == null) {
          AgentServiceGrpc.getCloseProcessMethod = getCloseProcessMethod =
              io.grpc.MethodDescriptor.<io.verbenacleat.proto.v1.CloseProcessRequest, io.verbenacleat.proto.v1.CloseProcessResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "CloseProcess"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.CloseProcessRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.CloseProcessResponse.getDefaultInstance()))
              .setSchemaDescriptor(new AgentServiceMethodDescriptorSupplier("CloseProcess"))
              .build();
        }
      }
    }
    return getCloseProcessMethod;
  }

  private static volatile io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.GetStatusRequest,
      io.verbenacleat.proto.v1.GetStatusResponse> getGetStatusMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "GetStatus",
      requestType = io.verbenacleat.proto.v1.GetStatusRequest.class,
      responseType = io.verbenacleat.proto.v1.GetStatusResponse.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.GetStatusRequest,
      io.verbenacleat.proto.v1.GetStatusResponse> getGetStatusMethod() {
    io.grpc.MethodDescriptor<io.verbenacleat.proto.v1.GetStatusRequest, io.verbenacleat.proto.v1.GetStatusResponse> getGetStatusMethod;
    if ((getGetStatusMethod = AgentServiceGrpc.getGetStatusMethod) == null) {
      synchronized (AgentServiceGrpc.class) {
        if ((getGetStatusMethod = AgentServiceGrpc.getGetStatusMethod) == null) {
          AgentServiceGrpc.getGetStatusMethod = getGetStatusMethod =
              io.grpc.MethodDescriptor.<io.verbenacleat.proto.v1.GetStatusRequest, io.verbenacleat.proto.v1.GetStatusResponse>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "GetStatus"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.GetStatusRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  io.verbenacleat.proto.v1.GetStatusResponse.getDefaultInstance()))
              .setSchemaDescriptor(new AgentServiceMethodDescriptorSupplier("GetStatus"))
              .build();
        }
      }
    }
    return getGetStatusMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static AgentServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AgentServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AgentServiceStub>() {
        @java.lang.Override
        public AgentServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AgentServiceStub(channel, callOptions);
        }
      };
    return AgentServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static AgentServiceBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AgentServiceBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AgentServiceBlockingV2Stub>() {
        @java.lang.Override
        public AgentServiceBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AgentServiceBlockingV2Stub(channel, callOptions);
        }
      };
    return AgentServiceBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static AgentServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AgentServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AgentServiceBlockingStub>() {
        @java.lang.Override
        public AgentServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AgentServiceBlockingStub(channel, callOptions);
        }
      };
    return AgentServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static AgentServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<AgentServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<AgentServiceFutureStub>() {
        @java.lang.Override
        public AgentServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new AgentServiceFutureStub(channel, callOptions);
        }
      };
    return AgentServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by every agent. Callers are gateways (Execute, ResolveOrder), entries that close a
   * lost process (CloseProcess) and entries that watch load (GetStatus).
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Runs one order. The stream carries Accepted or Refused first, then parts, then Finished.
     * </pre>
     */
    default void execute(io.verbenacleat.proto.v1.ExecuteRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ExecuteEvent> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getExecuteMethod(), responseObserver);
    }

    /**
     * <pre>
     * Reports the fate of an order, or makes sure that it can never start.
     * </pre>
     */
    default void resolveOrder(io.verbenacleat.proto.v1.ResolveOrderRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ResolveOrderResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getResolveOrderMethod(), responseObserver);
    }

    /**
     * <pre>
     * Refuses all further orders of a gateway and on the grants of a holder.
     * </pre>
     */
    default void closeProcess(io.verbenacleat.proto.v1.CloseProcessRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.CloseProcessResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getCloseProcessMethod(), responseObserver);
    }

    /**
     * <pre>
     * Reports load and readiness.
     * </pre>
     */
    default void getStatus(io.verbenacleat.proto.v1.GetStatusRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.GetStatusResponse> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getGetStatusMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service AgentService.
   * <pre>
   * Served by every agent. Callers are gateways (Execute, ResolveOrder), entries that close a
   * lost process (CloseProcess) and entries that watch load (GetStatus).
   * </pre>
   */
  public static abstract class AgentServiceImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return AgentServiceGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service AgentService.
   * <pre>
   * Served by every agent. Callers are gateways (Execute, ResolveOrder), entries that close a
   * lost process (CloseProcess) and entries that watch load (GetStatus).
   * </pre>
   */
  public static final class AgentServiceStub
      extends io.grpc.stub.AbstractAsyncStub<AgentServiceStub> {
    private AgentServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AgentServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AgentServiceStub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs one order. The stream carries Accepted or Refused first, then parts, then Finished.
     * </pre>
     */
    public void execute(io.verbenacleat.proto.v1.ExecuteRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ExecuteEvent> responseObserver) {
      io.grpc.stub.ClientCalls.asyncServerStreamingCall(
          getChannel().newCall(getExecuteMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Reports the fate of an order, or makes sure that it can never start.
     * </pre>
     */
    public void resolveOrder(io.verbenacleat.proto.v1.ResolveOrderRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ResolveOrderResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getResolveOrderMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Refuses all further orders of a gateway and on the grants of a holder.
     * </pre>
     */
    public void closeProcess(io.verbenacleat.proto.v1.CloseProcessRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.CloseProcessResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getCloseProcessMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Reports load and readiness.
     * </pre>
     */
    public void getStatus(io.verbenacleat.proto.v1.GetStatusRequest request,
        io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.GetStatusResponse> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getGetStatusMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service AgentService.
   * <pre>
   * Served by every agent. Callers are gateways (Execute, ResolveOrder), entries that close a
   * lost process (CloseProcess) and entries that watch load (GetStatus).
   * </pre>
   */
  public static final class AgentServiceBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<AgentServiceBlockingV2Stub> {
    private AgentServiceBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AgentServiceBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AgentServiceBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs one order. The stream carries Accepted or Refused first, then parts, then Finished.
     * </pre>
     */
    @io.grpc.ExperimentalApi("https://github.com/grpc/grpc-java/issues/10918")
    public io.grpc.stub.BlockingClientCall<?, io.verbenacleat.proto.v1.ExecuteEvent>
        execute(io.verbenacleat.proto.v1.ExecuteRequest request) {
      return io.grpc.stub.ClientCalls.blockingV2ServerStreamingCall(
          getChannel(), getExecuteMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Reports the fate of an order, or makes sure that it can never start.
     * </pre>
     */
    public io.verbenacleat.proto.v1.ResolveOrderResponse resolveOrder(io.verbenacleat.proto.v1.ResolveOrderRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getResolveOrderMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Refuses all further orders of a gateway and on the grants of a holder.
     * </pre>
     */
    public io.verbenacleat.proto.v1.CloseProcessResponse closeProcess(io.verbenacleat.proto.v1.CloseProcessRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getCloseProcessMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Reports load and readiness.
     * </pre>
     */
    public io.verbenacleat.proto.v1.GetStatusResponse getStatus(io.verbenacleat.proto.v1.GetStatusRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGetStatusMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service AgentService.
   * <pre>
   * Served by every agent. Callers are gateways (Execute, ResolveOrder), entries that close a
   * lost process (CloseProcess) and entries that watch load (GetStatus).
   * </pre>
   */
  public static final class AgentServiceBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<AgentServiceBlockingStub> {
    private AgentServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AgentServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AgentServiceBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Runs one order. The stream carries Accepted or Refused first, then parts, then Finished.
     * </pre>
     */
    public java.util.Iterator<io.verbenacleat.proto.v1.ExecuteEvent> execute(
        io.verbenacleat.proto.v1.ExecuteRequest request) {
      return io.grpc.stub.ClientCalls.blockingServerStreamingCall(
          getChannel(), getExecuteMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Reports the fate of an order, or makes sure that it can never start.
     * </pre>
     */
    public io.verbenacleat.proto.v1.ResolveOrderResponse resolveOrder(io.verbenacleat.proto.v1.ResolveOrderRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getResolveOrderMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Refuses all further orders of a gateway and on the grants of a holder.
     * </pre>
     */
    public io.verbenacleat.proto.v1.CloseProcessResponse closeProcess(io.verbenacleat.proto.v1.CloseProcessRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getCloseProcessMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Reports load and readiness.
     * </pre>
     */
    public io.verbenacleat.proto.v1.GetStatusResponse getStatus(io.verbenacleat.proto.v1.GetStatusRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getGetStatusMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service AgentService.
   * <pre>
   * Served by every agent. Callers are gateways (Execute, ResolveOrder), entries that close a
   * lost process (CloseProcess) and entries that watch load (GetStatus).
   * </pre>
   */
  public static final class AgentServiceFutureStub
      extends io.grpc.stub.AbstractFutureStub<AgentServiceFutureStub> {
    private AgentServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected AgentServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new AgentServiceFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Reports the fate of an order, or makes sure that it can never start.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.verbenacleat.proto.v1.ResolveOrderResponse> resolveOrder(
        io.verbenacleat.proto.v1.ResolveOrderRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getResolveOrderMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Refuses all further orders of a gateway and on the grants of a holder.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.verbenacleat.proto.v1.CloseProcessResponse> closeProcess(
        io.verbenacleat.proto.v1.CloseProcessRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getCloseProcessMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Reports load and readiness.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<io.verbenacleat.proto.v1.GetStatusResponse> getStatus(
        io.verbenacleat.proto.v1.GetStatusRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getGetStatusMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_EXECUTE = 0;
  private static final int METHODID_RESOLVE_ORDER = 1;
  private static final int METHODID_CLOSE_PROCESS = 2;
  private static final int METHODID_GET_STATUS = 3;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_EXECUTE:
          serviceImpl.execute((io.verbenacleat.proto.v1.ExecuteRequest) request,
              (io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ExecuteEvent>) responseObserver);
          break;
        case METHODID_RESOLVE_ORDER:
          serviceImpl.resolveOrder((io.verbenacleat.proto.v1.ResolveOrderRequest) request,
              (io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.ResolveOrderResponse>) responseObserver);
          break;
        case METHODID_CLOSE_PROCESS:
          serviceImpl.closeProcess((io.verbenacleat.proto.v1.CloseProcessRequest) request,
              (io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.CloseProcessResponse>) responseObserver);
          break;
        case METHODID_GET_STATUS:
          serviceImpl.getStatus((io.verbenacleat.proto.v1.GetStatusRequest) request,
              (io.grpc.stub.StreamObserver<io.verbenacleat.proto.v1.GetStatusResponse>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getExecuteMethod(),
          io.grpc.stub.ServerCalls.asyncServerStreamingCall(
            new MethodHandlers<
              io.verbenacleat.proto.v1.ExecuteRequest,
              io.verbenacleat.proto.v1.ExecuteEvent>(
                service, METHODID_EXECUTE)))
        .addMethod(
          getResolveOrderMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.verbenacleat.proto.v1.ResolveOrderRequest,
              io.verbenacleat.proto.v1.ResolveOrderResponse>(
                service, METHODID_RESOLVE_ORDER)))
        .addMethod(
          getCloseProcessMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.verbenacleat.proto.v1.CloseProcessRequest,
              io.verbenacleat.proto.v1.CloseProcessResponse>(
                service, METHODID_CLOSE_PROCESS)))
        .addMethod(
          getGetStatusMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              io.verbenacleat.proto.v1.GetStatusRequest,
              io.verbenacleat.proto.v1.GetStatusResponse>(
                service, METHODID_GET_STATUS)))
        .build();
  }

  private static abstract class AgentServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    AgentServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return io.verbenacleat.proto.v1.Verbena.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("AgentService");
    }
  }

  private static final class AgentServiceFileDescriptorSupplier
      extends AgentServiceBaseDescriptorSupplier {
    AgentServiceFileDescriptorSupplier() {}
  }

  private static final class AgentServiceMethodDescriptorSupplier
      extends AgentServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    AgentServiceMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (AgentServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new AgentServiceFileDescriptorSupplier())
              .addMethod(getExecuteMethod())
              .addMethod(getResolveOrderMethod())
              .addMethod(getCloseProcessMethod())
              .addMethod(getGetStatusMethod())
              .build();
        }
      }
    }
    return result;
  }
}
