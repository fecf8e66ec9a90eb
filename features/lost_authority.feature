@instances.3 @plan.market
Feature: Orders from a process that has lost its authority have no effect

  Scenario: a holder cut off from the platform while it orders
    Given the engines answer no orders
    When an operator asks for the adapter "cut-off"
    And 2 engine orders are open
    And the holder is cut off from the platform
    Given the engines answer orders
    Then another process takes the duty
    And the next holder's orders reach the engines
    When the holder is connected again
    Then no order of an older term came after a newer one
    And no engine got conflicting orders

  Scenario: a holder that gets no answers from the platform
    Given the engines answer no orders
    When an operator asks for the adapter "no-answers"
    And 2 engine orders are open
    And the holder gets no answers from the platform
    Given the engines answer orders
    Then another process takes the duty
    And the next holder's orders reach the engines
    When the holder is connected again
    Then no order of an older term came after a newer one
    And no engine got conflicting orders

  Scenario: all controls are killed and challenge at once
    When an operator asks for the adapter "all-killed"
    And the controls of all instances are killed
    Then another process takes the duty
    And the next holder's orders reach the engines
    And no order of an older term came after a newer one
    And no engine got conflicting orders

  Scenario: answers to appends are lost after they took effect
    Given the log loses the answers of the next 12 appends
    When an operator asks for the adapter "lost-appends"
    Then engines get orders
    And no order of an older term came after a newer one
    And no engine got conflicting orders
