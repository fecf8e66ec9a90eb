@instances.3 @plan.market
Feature: An engine never receives conflicting orders

  Scenario: a holder paused over its lease between two orders
    Given the engines answer no orders
    When an operator asks for the adapter "paused"
    And 2 engine orders are open
    And the holder's control is paused while it repeats them
    Given the engines answer orders
    Then the next holder's orders reach the engines
    When the paused control goes on
    Then no order of an older term came after a newer one
    And no engine got conflicting orders
    And the fence ends the paused control

  Scenario: a holder killed between an intent and its order
    Given the holder's link to the platform is slow
    And the engines answer no orders
    When an operator asks for the adapter "before-order"
    And the holder's control is killed once an intent is logged
    Given the engines answer orders
    Then the next holder carries out the same order
    And no engine got conflicting orders

  Scenario: a holder killed between an order and its outcome
    When an operator asks for the adapter "before-outcome"
    And the holder's control is killed once an engine got an order
    Then the next holder settles the same order
    And no engine got conflicting orders

  Scenario: orders that take effect after their sender has gone
    Given the engines take in orders 4 seconds late
    When an operator asks for the adapter "late-effect"
    And the holder's control is killed while an order is open
    Then the next holder settles the order that was open
    And no engine got conflicting orders

  Scenario: an engine crashes in the middle of a change
    When an operator asks for the adapter "crash"
    And an engine crashes after it got an order
    Then that order is settled
    And no engine got conflicting orders
